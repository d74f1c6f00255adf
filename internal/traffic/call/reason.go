package call

import "net/http"

// Reason is the reason why a request got no response from its backend server.
type Reason string

// The reasons. Reasons holds their HTTP statuses and texts.
const (
	ReasonNone             Reason = ""
	ReasonBadRequest       Reason = "bad_request"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonNoRoutes         Reason = "no_routes"
	ReasonUnknownKind      Reason = "unknown_kind"
	ReasonBodyTooLarge     Reason = "body_too_large"
	ReasonBadKey           Reason = "bad_key"
	ReasonKeyReused        Reason = "key_reused"
	ReasonOverload         Reason = "overload"
	ReasonCallsWait        Reason = "calls_wait"
	ReasonQueueTimeout     Reason = "queue_timeout"
	ReasonDeadline         Reason = "deadline"
	ReasonNoInstance       Reason = "no_instance"
	ReasonDraining         Reason = "draining"
	ReasonCanceled         Reason = "canceled"
	ReasonPeerUnreachable  Reason = "peer_unreachable"
	ReasonPeerSilent       Reason = "peer_silent"
	ReasonBackendFailed    Reason = "backend_failed"
	ReasonBackendShed      Reason = "backend_shed"
	ReasonResponseTooLarge Reason = "answer_too_large"
	ReasonQuarantined      Reason = "quarantined"
	ReasonSuspected        Reason = "suspected"
	ReasonOwnerUnreachable Reason = "home_unreachable"
	ReasonOwnerUnknown     Reason = "home_unknown"
	ReasonKeyTime          Reason = "key_time"
	ReasonMemoryFull       Reason = "memory_full"
	ReasonCorrupt          Reason = "corrupt"
)

// ReasonEntry is the catalogue entry of one reason.
type ReasonEntry struct {
	Status int
	// Final is whether no node up the call chain may retry the request.
	Final bool
	Text  string
}

// Reasons is the catalogue of reasons, from which docs/REASONS.md is generated.
var Reasons = map[Reason]ReasonEntry{
	ReasonNone:             {Status: http.StatusOK, Text: "The backend server answered."},
	ReasonBadRequest:       {Status: http.StatusBadRequest, Final: true, Text: "A header or the path is malformed; the text names the field."},
	ReasonUnknownService:   {Status: http.StatusNotFound, Final: true, Text: "No accepted document describes the service."},
	ReasonNoRoutes:         {Status: http.StatusServiceUnavailable, Text: "The node has just started and knows no routes yet."},
	ReasonUnknownKind:      {Status: http.StatusNotFound, Final: true, Text: "The service's document has no kind, or there is no route, for this method, host and path."},
	ReasonBodyTooLarge:     {Status: http.StatusRequestEntityTooLarge, Final: true, Text: "The body is larger than the node's limit."},
	ReasonBadKey:           {Status: http.StatusBadRequest, Final: true, Text: "The Idempotency-Key header is malformed."},
	ReasonKeyReused:        {Status: http.StatusUnprocessableEntity, Final: true, Text: "The key was used before with another request."},
	ReasonOverload:         {Status: http.StatusServiceUnavailable, Text: "The backend server has more urgent work than it can run."},
	ReasonCallsWait:        {Status: http.StatusServiceUnavailable, Text: "The calls of the requests that run already have to wait further down."},
	ReasonQueueTimeout:     {Status: http.StatusServiceUnavailable, Text: "The request waited too long for a free slot."},
	ReasonDeadline:         {Status: http.StatusServiceUnavailable, Final: true, Text: "The deadline leaves no time to run the request."},
	ReasonNoInstance:       {Status: http.StatusServiceUnavailable, Text: "No instance of the service is known or reachable."},
	ReasonDraining:         {Status: http.StatusServiceUnavailable, Text: "The instance is leaving and takes no new work."},
	ReasonCanceled:         {Status: 499, Final: true, Text: "The caller went away."},
	ReasonPeerUnreachable:  {Status: http.StatusBadGateway, Text: "The connection to the instance failed."},
	ReasonPeerSilent:       {Status: http.StatusGatewayTimeout, Text: "The instance stopped answering."},
	ReasonBackendFailed:    {Status: http.StatusBadGateway, Text: "The answer of the backend server broke off or is malformed."},
	ReasonBackendShed:      {Status: http.StatusServiceUnavailable, Text: "The backend server refused the request by itself and did not run it."},
	ReasonResponseTooLarge: {Status: http.StatusBadGateway, Final: true, Text: "The backend server ran the request, but its answer is larger than the node passes on."},
	ReasonQuarantined:      {Status: http.StatusServiceUnavailable, Final: true, Text: "The request crashed backend servers and is refused for a time."},
	ReasonSuspected:        {Status: http.StatusServiceUnavailable, Text: "A backend server crashed while it ran the request, and another such request is running."},
	ReasonOwnerUnreachable: {Status: http.StatusServiceUnavailable, Text: "The node that remembers this key can't be reached."},
	ReasonOwnerUnknown:     {Status: http.StatusServiceUnavailable, Text: "No node may run this key now."},
	ReasonKeyTime:          {Status: http.StatusBadRequest, Final: true, Text: "The key's own time is too far from the present."},
	ReasonMemoryFull:       {Status: http.StatusServiceUnavailable, Text: "The node can remember no further keys."},
	ReasonCorrupt:          {Status: http.StatusBadGateway, Text: "An answer between nodes was damaged or is malformed."},
}

// Entry returns the reason's catalogue entry.
func (r Reason) Entry() ReasonEntry {
	return Reasons[r]
}
