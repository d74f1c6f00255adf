package peer

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestHeadersComeBack(t *testing.T) {
	for name, h := range map[string]http.Header{
		"none":                {},
		"one":                 {"Host": {"sheets.example"}},
		"several of one name": {"Accept": {"a", "b", "c"}, "Host": {"x"}},
		"empty value":         {"X-Empty": {""}},
		"colons, not UTF-8":   {"X-Time": {"12:30\xff"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := parseHeaders(encodeHeaders(h))
			is.NoErr(err)
			is.Equal(got, h)
		})
	}
}

func TestMalformedHeadersAreRefused(t *testing.T) {
	for name, block := range map[string]string{
		"no colon":     "Host\n",
		"no end":       "Host:x",
		"no name":      ":x\n",
		"an empty one": "\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseHeaders([]byte(block))
			is.New(t).True(err != nil)
		})
	}
}

// A name or value that was read from the network has no line feed, but a header may be set by more than that.
func FuzzParseHeaders(f *testing.F) {
	f.Add([]byte("Host:x\nAccept:*/*\nAccept:text/plain\n"))
	f.Add([]byte("Host"))
	f.Fuzz(func(t *testing.T, block []byte) {
		h, err := parseHeaders(block)
		if err != nil {
			return
		}
		again, err := parseHeaders(encodeHeaders(h))
		if err != nil || len(again) != len(h) {
			t.Fatalf("%q doesn't come back", block)
		}
	})
}
