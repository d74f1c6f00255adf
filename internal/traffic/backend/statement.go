package backend

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Statement is what the header of a response says about the backend server itself.
type Statement struct {
	// Instance is the start of the backend server that the request was sent to; empty if it has no ID.
	Instance string
	// RateLimit is the number of requests per second that the backend server accepts from all nodes together. It is
	// valid if IsRateLimited is true.
	RateLimit     float64
	IsRateLimited bool
	// Leaving reports whether the backend server is about to stop.
	Leaving bool
	// SentAt is when the request was sent, and ReceivedAt when the header of the response was read.
	SentAt, ReceivedAt time.Time
	// Invalid is the value of a rate limit that can't be parsed; empty if there is none.
	Invalid string
}

// leavingValue is the value of the header of a backend server that leaves.
const leavingValue = "1"

// statementOf returns the statement in the header of a response.
func (h *Headers) statementOf(header http.Header) Statement {
	s := Statement{Leaving: h.Leaving != "" && strings.TrimSpace(header.Get(h.Leaving)) == leavingValue}
	text := strings.TrimSpace(header.Get(h.RateLimit))
	if h.RateLimit == "" || text == "" {
		return s
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		s.Invalid = text
		return s
	}
	s.RateLimit, s.IsRateLimited = rate, true
	return s
}
