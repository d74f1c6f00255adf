package document_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/control/document"
)

const validDocument = `[service]
name = access
team = access-team
[kind windows]
method = GET
path = /windows/*
rank = 1
idempotent = true
`

func TestDocumentFaults(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want string
	}{
		"sound":                        {validDocument, ""},
		"unknown key":                  {validDocument + "colour = red", "d.ini:9: [kind windows] colour: unknown key"},
		"unknown section":              {validDocument + "[paint]", "d.ini:9: [paint] unknown section"},
		"kind twice":                   {validDocument + "[kind windows]", "d.ini:9: [kind windows] stands twice"},
		"key before the first section": {"colour = red\n" + validDocument, "d.ini:1: colour: unknown key"},
		"bad rank":                     {strings.Replace(validDocument, "rank = 1", "rank = 10", 1), "d.ini:7: [kind windows] rank: \"10\" is not a whole number from 0 to 9"},
		"no rank":                      {strings.Replace(validDocument, "rank = 1\n", "", 1), "d.ini:4: [kind windows] rank: \"\" is not a whole number from 0 to 9"},
		"bad unit":                     {validDocument + "deadline = 2", "d.ini:9: [kind windows] deadline: \"2\" is not a duration from 1ms to 2m0s, such as 800ms"},
		"bad method":                   {strings.Replace(validDocument, "GET", "get", 1), "d.ini:5: [kind windows] method: \"get\" is not an HTTP method in upper case or *"},
		"bad path":                     {strings.Replace(validDocument, "/windows/*", "/*/windows", 1), "d.ini:6: [kind windows] path: \"/*/windows\" does not begin with / or has * before its end"},
		"kind that never matches": {
			validDocument + "[kind late]\npath = /windows/late\nmethod = GET\nrank = 2\nidempotent = true",
			"d.ini:10: [kind late] path: never matches: kind windows above takes all of its requests",
		},
		"several faults": {
			"[service]\nname = A B\n[kind x]\npath = x\nrank = 1\nidempotent = yes",
			"d.ini:1: [service] team: missing\n" +
				"d.ini:2: [service] name: \"A B\" is not lower-case letters, digits, - and _\n" +
				"d.ini:4: [kind x] path: \"x\" does not begin with / or has * before its end\n" +
				"d.ini:6: [kind x] idempotent: \"yes\" is not true or false",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, faults := document.ParseFile("d.ini", []byte(c.text))
			is.Equal(faults.Error(), c.want)
		})
	}
}

func TestMatchReturnsFirstKind(t *testing.T) {
	is := is.New(t)
	d, err := document.Parse([]byte(validDocument + "deadline = 300ms\n[kind rest]\npath = /*\nrank = 7\nidempotent = false\n"))
	is.NoErr(err)
	for request, want := range map[string]string{
		"GET /windows/1":  "windows",
		"POST /windows/1": "rest",
		"GET /other":      "rest",
	} {
		method, path, _ := strings.Cut(request, " ")
		kind, ok := d.Match(method, path)
		is.True(ok)
		is.Equal(kind.Name, want)
	}
	is.Equal(d.Kinds[0].Deadline, 300*time.Millisecond)
	is.Equal(d.AttemptAllowance, document.DefaultAttemptAllowance)
}

// Checks that the sample documents give each kind of request the required rank, and mark as idempotent only requests
// that may run twice.
func TestSampleDocumentRanksAndIdempotence(t *testing.T) {
	is := is.New(t)
	for request, want := range map[string]struct {
		rank       int
		idempotent bool
	}{
		"crew-scheduling GET /sheets/today": {0, true},
		"rig-status GET /board/hall":        {0, true},
		"bookings POST /bookings":           {2, false},
		"bookings POST /deposits":           {2, false},
		"orders POST /orders":               {1, false},
		"wash-history GET /archive/2019":    {9, true},
		"fixtures GET /fixtures/par64":      {7, true},
		"venues GET /schedules/hall":        {6, true},
		"access GET /windows/hall":          {1, true},
	} {
		fields := strings.Fields(request)
		text, err := os.ReadFile(filepath.Join("../../../samples/documents", fields[0]+".ini"))
		is.NoErr(err)
		d, err := document.Parse(text)
		is.NoErr(err)
		kind, ok := d.Match(fields[1], fields[2])
		is.True(ok)
		is.Equal(kind.Rank, want.rank)             // rank of the kind
		is.Equal(kind.Idempotent, want.idempotent) // whether it may run twice
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validDocument)
	f.Add("[kind ]\n[kind a.b]\npath=/%(name)s\nrank=-0\n- = 1\n[service]\nname: x")
	f.Fuzz(func(t *testing.T, text string) {
		d, faults := document.ParseFile("d.ini", []byte(text))
		if (d == nil) == (len(faults) == 0) {
			t.Fatalf("neither a document nor faults: %v", faults)
		}
		lines := strings.Count(text, "\n") + 1
		for _, fault := range faults {
			if fault.Line < 0 || fault.Line > lines || fault.Reason == "" {
				t.Fatalf("fault with an invalid line or without a reason: %+v", fault)
			}
		}
		for i := 0; d != nil && i < len(d.Kinds); i++ {
			k := d.Kinds[i]
			if k.Name == "" || k.Rank < document.MostUrgentRank || k.Rank > document.LeastUrgentRank || k.Deadline <= 0 || k.Share < 1 {
				t.Fatalf("kind out of bounds: %+v", k)
			}
		}
	})
}
