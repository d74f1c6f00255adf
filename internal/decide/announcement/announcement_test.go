package announcement_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/announcement"
)

func TestIsStale(t *testing.T) {
	held := announcement.Position{Instance: "i_2", Started: 2000, Sequence: 7}
	for name, test := range map[string]struct {
		next announcement.Position
		want bool
	}{
		"next of the same start":         {announcement.Position{Instance: "i_2", Started: 2000, Sequence: 8}, false},
		"the same again":                 {announcement.Position{Instance: "i_2", Started: 2000, Sequence: 7}, true},
		"delayed":                        {announcement.Position{Instance: "i_2", Started: 2000, Sequence: 3}, true},
		"later start, sequence restarts": {announcement.Position{Instance: "i_3", Started: 3000, Sequence: 1}, false},
		"later start, same instance":     {announcement.Position{Instance: "i_2", Started: 3000, Sequence: 1}, false},
		"earlier start, delayed":         {announcement.Position{Instance: "i_1", Started: 1000, Sequence: 90}, true},
		"without order":                  {announcement.Position{Instance: "i_2"}, false},
		"without start, with sequence":   {announcement.Position{Instance: "i_3", Sequence: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(announcement.IsStale(held, test.next), test.want)
		})
	}
}
