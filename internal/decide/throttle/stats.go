package throttle

import "time"

// Reason says why a Throttle stands where it does, or why it refused a request.
type Reason string

// The reasons.
const (
	AdmitsAll        Reason = "admits_all"
	AcceptedIsLess   Reason = "accepted_is_less"
	RefusedAboveRate Reason = "above_accepted_rate"
	RefusedResent    Reason = "resent"
)

// Reasons is the catalogue of the reasons.
var Reasons = map[Reason]string{
	AdmitsAll:        "No more is offered than was lately accepted down the chains, with headroom.",
	AcceptedIsLess:   "Requests were refused down their chains, and more is offered than was lately accepted, with headroom.",
	RefusedAboveRate: "The request was one of those above what was lately accepted, and its caller above its equal part.",
	RefusedResent:    "The caller sent the request again, and the part for such requests is used up.",
}

// Refusal is a request that a Throttle refused itself. The zero Refusal is none.
type Refusal struct {
	Reason Reason    `json:"reason"`
	At     time.Time `json:"at"`
}

// Stats are what a Throttle goes by, for the dump. The counts are of about the last Config.Window and fade.
type Stats struct {
	Reason Reason `json:"reason"`
	// RefusedShare is the part of the requests, from 0 to 1, that are refused here.
	RefusedShare float64 `json:"refused_share"`
	// Accepted and RefusedBelow are what became of the admitted requests down their chains, and Peak is the highest
	// accepted count, fading slowly. RefusedHere are those that the throttle refused itself.
	Accepted     float64 `json:"accepted"`
	Peak         float64 `json:"peak"`
	RefusedBelow float64 `json:"refused_below"`
	RefusedHere  float64 `json:"refused_here"`
	// LastBelow is when an admitted request was last refused down its chain; zero for never.
	LastBelow time.Time `json:"last_below"`
	LastHere  Refusal   `json:"last_here"`
}

// Stats returns what the throttle goes by.
func (t *Throttle) Stats(now time.Time) Stats {
	t.decay(now)
	s := Stats{
		Reason:       AdmitsAll,
		RefusedShare: t.refusalRatio(now),
		Accepted:     t.accepted,
		Peak:         t.peak,
		RefusedBelow: t.refusedBelow,
		RefusedHere:  t.refusedHere,
		LastBelow:    t.refusedBelowAt,
		LastHere:     t.lastRefusal,
	}
	if s.RefusedShare > 0 {
		s.Reason = AcceptedIsLess
	}
	return s
}
