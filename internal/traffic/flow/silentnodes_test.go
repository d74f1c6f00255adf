package flow

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/peer"
)

func TestSilentNodes(t *testing.T) {
	const address = "10.0.1.21:7001"
	lost := &peer.Error{Address: address, Sent: true, Reason: call.ReasonPeerSilent}
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		results       []error // results of the earlier exchanges
		probed        bool    // a probe was sent less than silentProbeInterval ago
		silent, probe bool
	}{
		"unknown node":             {},
		"answered":                 {results: []error{nil}},
		"request not sent":         {results: []error{&peer.Error{Address: address}}},
		"connection broken":        {results: []error{&peer.Error{Address: address, Sent: true, Reason: call.ReasonPeerUnreachable}}},
		"other error":              {results: []error{errors.New("another")}},
		"no answer":                {results: []error{lost}, silent: true, probe: true},
		"no answer, then answered": {results: []error{lost, nil}},
		"probed recently":          {results: []error{lost}, probed: true, silent: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSilentNodes(nil)
			for _, err := range test.results {
				s.observe(address, err)
			}
			if test.probed {
				s.check(address, now.Add(-silentProbeInterval/2))
			}
			silent, probe := s.check(address, now)
			is.Equal(silent, test.silent)
			is.Equal(probe, test.probe)
		})
	}
}
