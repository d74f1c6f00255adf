package announcement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/announcement"
)

// Guards against a late announcement that takes a departure back, and against a departure that outlives its start.
func TestDepartureCovers(t *testing.T) {
	at := time.UnixMilli(5000)
	for name, test := range map[string]struct {
		departure announcement.Departure
		next      announcement.Position
		want      bool
	}{
		"no departure":                          {announcement.Departure{}, announcement.Position{}, false},
		"late announcement of the same start":   {announcement.Departure{Instance: "i", Started: 1000, At: at}, announcement.Position{Instance: "i", Started: 1000, Sequence: 9}, true},
		"new start under the same name":         {announcement.Departure{Instance: "i", Started: 1000, At: at}, announcement.Position{Instance: "i", Started: 2000}, false},
		"other backend server":                  {announcement.Departure{Instance: "i", Started: 1000, At: at}, announcement.Position{Instance: "j", Started: 1000}, false},
		"start not known, announcement earlier": {announcement.Departure{Instance: "i", At: at}, announcement.Position{Instance: "i", Started: 1000}, true},
		"start not known, announcement later":   {announcement.Departure{Instance: "i", At: at}, announcement.Position{Instance: "i", Started: 6000}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.departure.Covers(test.next), test.want)
		})
	}
}
