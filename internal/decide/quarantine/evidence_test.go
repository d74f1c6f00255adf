package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/decide/quarantine"
)

func TestEntriesShowTheEvidence(t *testing.T) {
	is := is.New(t)
	s := newService(2)
	poison := request("poison")
	s.run(t, start, 0, poison)
	first := start.Add(time.Second)
	s.crash(first, 0, start, poison)
	is.Equal(s.tables[0].Entries()[0].Reason, quarantine.Suspected)
	is.Equal(sources(s.tables[0]), []quarantine.Source{quarantine.ObservedLocally})
	is.Equal(sources(s.tables[1]), []quarantine.Source{quarantine.Reported})

	s.run(t, first, 1, poison)
	second := first.Add(time.Second)
	s.crash(second, 1, first, poison)
	for _, table := range s.tables {
		e := table.Entries()[0]
		is.Equal(e.Reason, quarantine.Quarantined)
		is.Equal(len(e.Evidence), 2) // one for each crash
		is.True(e.Evidence[0].Crash != e.Evidence[1].Crash)
		is.Equal(e.Evidence[0].At, first)
		is.Equal(e.Evidence[1].At, second)
	}
	is.Equal(sources(s.tables[0]), []quarantine.Source{quarantine.ObservedLocally, quarantine.Reported})

	table := s.tables[0]
	for crash := range 20 {
		table.Learn(second, quarantine.Blame{Fingerprint: poison, Crash: uint64(crash + 1), Crashes: 1})
	}
	is.Equal(len(table.Entries()[0].Evidence), 8) // only the latest are kept
}

func sources(t *quarantine.Table) []quarantine.Source {
	var found []quarantine.Source
	for _, v := range t.Entries()[0].Evidence {
		found = append(found, v.Source)
	}
	return found
}
