package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/membership"
	"github.com/comfreyhoist/comfreyhoist/internal/wire/address"
)

// AnnouncePath is the path to which a backend server posts its periodic announcements on its local node.
const AnnouncePath = "/announce"

// Announcement describes a backend server. It is sent as JSON.
type Announcement struct {
	Service string `json:"service"`
	// Address is the IP and port on which the backend server accepts requests.
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Instance identifies this start of the backend server; it may be empty.
	Instance string `json:"instance,omitempty"`
	// Started is the time of this start, in Unix milliseconds, and Sequence counts the announcements since then. 0 means
	// unknown.
	Started  int64  `json:"started,omitempty"`
	Sequence uint64 `json:"sequence,omitempty"`
	// Leaving reports whether the backend server accepts no new requests because it is about to stop.
	Leaving bool `json:"leaving"`
}

// Check returns a trace.BadParameter that names a value that no backend server announces.
func (a Announcement) Check() error {
	switch {
	case a.Service == "":
		return trace.BadParameter("the service is missing")
	case a.Slots < 1 || a.Slots > membership.MaxSlots:
		return trace.BadParameter("slots are %d, not from 1 to %d", a.Slots, membership.MaxSlots)
	case a.Connections < 0:
		return trace.BadParameter("connections are %d, less than 0", a.Connections)
	case a.Started < 0:
		return trace.BadParameter("the start is %d, before 1970", a.Started)
	}
	return trace.Wrap(address.Check(a.Address))
}

// maxAnnouncement is the maximum size of an announcement, in bytes.
const maxAnnouncement = 4 << 10

// announcementTimeout is how long the body of an announcement may take to arrive.
const announcementTimeout = time.Second

// ReadAnnouncement reads the body of an announcement to its end and decodes it. It returns a trace.BadParameter for a body that is
// cut, larger than 4 KiB, or not one JSON value. With nil as the announcement, any body is accepted.
func ReadAnnouncement(w http.ResponseWriter, r *http.Request, announcement any) error {
	// The server sets another deadline for the next request.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(announcementTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err != nil {
		return trace.BadParameter("the announcement is not whole: %v", err)
	}
	if announcement == nil {
		return nil
	}
	if err := json.Unmarshal(body, announcement); err != nil {
		return trace.BadParameter("the announcement can't be read: %v", err)
	}
	return nil
}

// RegisterAnnouncements adds a route to the router that validates announcements and passes them to announce.
func RegisterAnnouncements(router *httprouter.Router, announce func(Announcement)) {
	router.POST(AnnouncePath, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var a Announcement
		if err := ReadAnnouncement(w, r, &a); err != nil {
			http.Error(w, trace.UserMessage(err), http.StatusBadRequest)
			return
		}
		if err := a.Check(); err != nil {
			http.Error(w, trace.UserMessage(err), http.StatusBadRequest)
			return
		}
		if a.Connections <= 0 {
			http.Error(w, "connections is missing", http.StatusBadRequest)
			return
		}
		announce(a)
		w.WriteHeader(http.StatusNoContent)
	})
}
