package backend

import (
	"math"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// statementHeaders are the headers of statements in these tests.
var statementHeaders = Headers{RateLimit: "Rate-Limit", Leaving: "Leaving"}

func TestStatementOf(t *testing.T) {
	for name, test := range map[string]struct {
		header http.Header
		want   Statement
	}{
		"nothing":                 {http.Header{}, Statement{}},
		"decimal rate":            {http.Header{"Rate-Limit": {"9.17"}}, Statement{RateLimit: 9.17, IsRateLimited: true}},
		"rate of 0":               {http.Header{"Rate-Limit": {"0"}}, Statement{IsRateLimited: true}},
		"spaces":                  {http.Header{"Rate-Limit": {" 4 "}}, Statement{RateLimit: 4, IsRateLimited: true}},
		"negative rate":           {http.Header{"Rate-Limit": {"-1"}}, Statement{Invalid: "-1"}},
		"not a number":            {http.Header{"Rate-Limit": {"few"}}, Statement{Invalid: "few"}},
		"NaN":                     {http.Header{"Rate-Limit": {"NaN"}}, Statement{Invalid: "NaN"}},
		"infinite rate":           {http.Header{"Rate-Limit": {"1e999"}}, Statement{Invalid: "1e999"}},
		"leaving":                 {http.Header{"Leaving": {"1"}}, Statement{Leaving: true}},
		"other value for leaving": {http.Header{"Leaving": {"0"}}, Statement{}},
		"leaving with a rate":     {http.Header{"Leaving": {"1"}, "Rate-Limit": {"2"}}, Statement{RateLimit: 2, IsRateLimited: true, Leaving: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(statementHeaders.statementOf(test.header), test.want)
		})
	}
}

func FuzzStatementOf(f *testing.F) {
	f.Add("9.17", "1")
	f.Add("1e999", "")
	f.Fuzz(func(t *testing.T, rate, leaving string) {
		s := statementHeaders.statementOf(http.Header{"Rate-Limit": {rate}, "Leaving": {leaving}})
		if s.IsRateLimited && !(s.RateLimit >= 0 && s.RateLimit <= math.MaxFloat64) {
			t.Fatalf("the rate limit %q was accepted as %v", rate, s.RateLimit)
		}
	})
}
