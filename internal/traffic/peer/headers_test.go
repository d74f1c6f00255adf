package peer

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestHeadersRoundTrip(t *testing.T) {
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

func TestMalformedHeadersAreRejected(t *testing.T) {
	for name, block := range map[string]string{
		"no colon":     "Host\n",
		"no line feed": "Host:x",
		"no name":      ":x\n",
		"empty header": "\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseHeaders([]byte(block))
			is.New(t).True(err != nil)
		})
	}
}

// FuzzParseHeaders checks that parsed headers survive another round trip. Names and values that were read from the
// network contain no line feed, but headers may also come from elsewhere.
func FuzzParseHeaders(f *testing.F) {
	f.Add([]byte("Host:x\nAccept:*/*\nAccept:text/plain\n"))
	f.Add([]byte("Host"))
	f.Fuzz(func(t *testing.T, block []byte) {
		h, err := parseHeaders(block)
		if err != nil {
			return
		}
		reparsed, err := parseHeaders(encodeHeaders(h))
		if err != nil || len(reparsed) != len(h) {
			t.Fatalf("headers of block %q changed in a round trip", block)
		}
	})
}
