package operator_test

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/operator"
	"github.com/comfreyhoist/comfreyhoist/internal/control/platform"
	"github.com/comfreyhoist/comfreyhoist/internal/control/zone"
	"github.com/comfreyhoist/comfreyhoist/internal/lab/store"
)

const documentKey = zone.DocumentPrefix + "bookings"

func TestHistoryIsStoredSeparately(t *testing.T) {
	is := is.New(t)
	_, url := newStore(t)
	node := startAPINode(t, url, io.Discard)
	tag := ""
	const edits = 70
	for i := range edits {
		stored, err := node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", fmt.Sprintf("%ds", i+1)), tag, fmt.Sprintf("edit-%d", i))
		is.NoErr(err)
		tag = stored.Tag()
	}
	client := platform.NewClient(platform.Config{URL: url, Timeout: time.Second})
	listed, err := client.List(t.Context(), zone.DocumentPrefix)
	is.NoErr(err)
	is.Equal(len(listed.Entries), 1)
	is.Equal(strings.Count(string(listed.Entries[0].Value), "[service]"), 1) // only the document in force
	history, err := node.client(bookingsToken).History(t.Context(), "bookings")
	is.NoErr(err)
	is.Equal(len(history), 65) // the document in force and 64 earlier ones
	for i, edit := range history {
		is.Equal(edit.Revision, uint64(edits-i))
	}
	// A repeated edit that has been replaced since does not take effect again, also on another node.
	again, err := startAPINode(t, url, io.Discard).client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "60s"), "", "edit-59")
	is.NoErr(err)
	is.Equal(again.Revision, uint64(60))
}

func TestEditsOfStoredDocuments(t *testing.T) {
	inForce := zone.StoredDocument{Revision: 2, Source: string(source("bookings-team", "2s")), Operation: "second", Time: time.Now()}
	earlier := zone.StoredDocument{Revision: 1, Source: string(source("bookings-team", "1s")), Operation: "first", Time: time.Now()}
	withHistory := inForce
	withHistory.History = []zone.StoredDocument{earlier}
	old := inForce
	old.Time = time.Now().Add(-time.Hour)
	type replacing struct {
		zone.StoredDocument

		Replaces string `json:"replaces"`
	}
	for name, c := range map[string]struct {
		document any
		faults   store.Faults
		code     operator.Code
		history  []uint64
	}{
		"history in the document, as written by earlier versions": {document: withHistory, history: []uint64{3, 2, 1}},
		"no history":                           {document: inForce, history: []uint64{3, 2}},
		"responses are lost":                   {document: withHistory, faults: store.Faults{LoseAnswers: true}, history: []uint64{3, 2, 1}},
		"writes are lost":                      {document: withHistory, faults: store.Faults{LoseWrites: true}, code: operator.CodeUnsettled, history: []uint64{2, 1}},
		"the history lags behind the document": {document: replacing{inForce, "first"}, code: operator.CodePlatformUnreachable},
		"the history has lost an edit":         {document: replacing{old, "first"}, history: []uint64{3, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			platformStore, url := newStore(t)
			node := startAPINode(t, url, io.Discard)
			value, err := json.Marshal(c.document)
			is.NoErr(err)
			client := platform.NewClient(platform.Config{URL: url, Timeout: time.Second})
			_, err = client.CompareAndSwap(t.Context(), platform.Swap{Key: documentKey, Value: value})
			is.NoErr(err)
			platformStore.SetFaults(c.faults)
			_, err = node.client(bookingsToken).Put(t.Context(), "bookings", source("bookings-team", "3s"), inForce.Tag(), "third")
			is.Equal(codeOf(err), c.code)
			platformStore.SetFaults(store.Faults{})
			edits, err := node.client(bookingsToken).History(t.Context(), "bookings")
			is.Equal(err == nil, len(c.history) > 0)
			var revisions []uint64
			for _, edit := range edits {
				revisions = append(revisions, edit.Revision)
			}
			is.Equal(revisions, c.history)
		})
	}
}
