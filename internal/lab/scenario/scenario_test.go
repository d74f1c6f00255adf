package scenario

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/load"
)

func TestIdealServesUrgentFirst(t *testing.T) {
	tests := map[string]struct {
		rates map[string]float64
		want  map[string]float64
	}{
		"the slots suffice for all streams": {
			rates: map[string]float64{"sheets": 250, "bookings": 100, "deposits": 50, "archive": 150},
			want:  map[string]float64{"sheets": 250, "bookings": 100, "deposits": 50, "archive": 150},
		},
		"a flood of archive requests gets the remaining slots of access": {
			rates: map[string]float64{"sheets": 250, "bookings": 100, "deposits": 50, "archive": 4000},
			want:  map[string]float64{"sheets": 250, "bookings": 100, "deposits": 50, "archive": 600},
		},
		"a flood of sheets leaves no slots for the other streams": {
			rates: map[string]float64{"sheets": 2500, "bookings": 100, "deposits": 50, "archive": 150},
			want:  map[string]float64{"sheets": 1000, "bookings": 0, "deposits": 0, "archive": 0},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := lustreLimpo()
			var streams []load.Stream
			for _, s := range d.Streams {
				s.Rate = test.rates[s.Name]
				streams = append(streams, s)
			}
			for stream, rate := range Ideal(d.Fleet, streams) {
				is.True(math.Abs(rate-test.want[stream]) < 1e-6) // the ideal rate of the stream
			}
		})
	}
}

func TestRecoveryIsTheTimeUntilSuccessesAreBack(t *testing.T) {
	is := is.New(t)
	var results []load.Result
	for sent := time.Duration(0); sent < 30*time.Second; sent += 10 * time.Millisecond {
		r := load.Result{Sent: sent, Status: 200}
		if sent >= 6*time.Second && sent < 16*time.Second {
			r.Status = 503
		}
		results = append(results, r)
	}
	is.Equal(recovery(results, 14*time.Second, 30*time.Second), 2*time.Second)
	is.Equal(recovery(results[:1600], 14*time.Second, 16*time.Second), time.Duration(-1))
}

func TestDocumentsOfTheDeploymentsAreValid(t *testing.T) {
	for name, d := range Deployments() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, s := range d.Fleet.Services {
				parsed, err := document.Parse([]byte(s.Document))
				is.NoErr(err)
				is.Equal(parsed.Service, s.Name)
			}
		})
	}
}
