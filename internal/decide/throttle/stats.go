package throttle

import "time"

// Reason is the reason for the state of a Throttle, or for a refusal.
type Reason string

// Possible values of Reason.
const (
	AdmitsAll        Reason = "admits_all"
	AcceptedIsLess   Reason = "accepted_is_less"
	RefusedAboveRate Reason = "above_accepted_rate"
	RefusedResent    Reason = "resent"
)

// Reasons describes the reasons.
var Reasons = map[Reason]string{
	AdmitsAll:        "No more is offered than was lately accepted down the chains, with headroom.",
	AcceptedIsLess:   "Requests were refused down their chains, and more is offered than was lately accepted, with headroom.",
	RefusedAboveRate: "The request was one of those above what was lately accepted, and its caller above its equal part.",
	RefusedResent:    "The caller sent the request again, and the part for such requests is used up.",
}

// Refusal is a request that a Throttle itself refused. The zero Refusal is none.
type Refusal struct {
	Reason Reason    `json:"reason"`
	At     time.Time `json:"at"`
}

// Stats holds the state of a Throttle, for the state dump. The counts decay with Config.TimeConstant.
type Stats struct {
	Reason Reason `json:"reason"`
	// RefusedRatio is the fraction of requests that the throttle refuses, from 0 to 1.
	RefusedRatio float64 `json:"refused_share"`
	// Accepted and RefusedBelow count the admitted requests that were accepted and refused along their call chains. Peak
	// is the highest accepted count and decays slowly. RefusedHere counts the requests that the throttle itself refused.
	Accepted     float64 `json:"accepted"`
	Peak         float64 `json:"peak"`
	RefusedBelow float64 `json:"refused_below"`
	RefusedHere  float64 `json:"refused_here"`
	// LastBelow is when an admitted request was last refused along its call chain; zero for never.
	LastBelow time.Time `json:"last_below"`
	LastHere  Refusal   `json:"last_here"`
}

// Stats returns the state of the throttle.
func (t *Throttle) Stats(now time.Time) Stats {
	t.decay(now)
	s := Stats{
		Reason:       AdmitsAll,
		RefusedRatio: t.refusalRatio(now),
		Accepted:     t.accepted,
		Peak:         t.peak,
		RefusedBelow: t.refusedBelow,
		RefusedHere:  t.refusedHere,
		LastBelow:    t.refusedBelowAt,
		LastHere:     t.lastRefusal,
	}
	if s.RefusedRatio > 0 {
		s.Reason = AcceptedIsLess
	}
	return s
}
