package flow

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

func TestSilences(t *testing.T) {
	const address = "10.0.1.21:7001"
	lost := &peer.Error{Address: address, Sent: true, Reason: call.ReasonPeerSilent}
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		ends        []error // how exchanges ended before
		asked       bool    // it was asked a moment ago
		silent, ask bool
	}{
		"nothing is known":                 {},
		"answered":                         {ends: []error{nil}},
		"not sent":                         {ends: []error{&peer.Error{Address: address}}},
		"the connection broke":             {ends: []error{&peer.Error{Address: address, Sent: true, Reason: call.ReasonPeerUnreachable}}},
		"another error":                    {ends: []error{errors.New("another")}},
		"sent without an answer":           {ends: []error{lost}, silent: true, ask: true},
		"sent without an answer, answered": {ends: []error{lost, nil}},
		"asked a moment ago":               {ends: []error{lost}, asked: true, silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSilentNodes(nil)
			for _, err := range c.ends {
				s.observe(address, err)
			}
			if c.asked {
				s.check(address, now.Add(-silentProbeInterval/2))
			}
			silent, ask := s.check(address, now)
			is.Equal(silent, c.silent)
			is.Equal(ask, c.ask)
		})
	}
}
