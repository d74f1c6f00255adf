package backend_test

import (
	"bufio"
	"net"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// idPlaceholder stands for the ID of the request in the response to it.
const idPlaceholder = "{id}"

// checkNoResponse checks in each way of sending a request that the text is no response to it. The connection stays open.
func checkNoResponse(t *testing.T, text string) {
	forEachWay(t, func(t *testing.T, bodySize int, kept bool) {
		server := newTroubledServer(t, func(conn net.Conn, id string) {
			write(conn, strings.ReplaceAll(text, idPlaceholder, id))
		})
		server.checkNoReply(t, bodySize, kept)
	})
}

// Guards against a status line that is none of HTTP/1: a caller got the text behind it as the response, or waited until its deadline
// because the response was taken for an informational one.
func TestResponseWithABrokenStatusLineIsNone(t *testing.T) {
	const good = "Content-Length: 4\r\n\r\ngood"
	lines := idLine(idPlaceholder) + "Signature: s\r\n"
	for name, text := range map[string]string{
		"000":                           "HTTP/1.1 000 \r\n" + lines + good,
		"000 without a body":            "HTTP/1.1 000 \r\n" + lines + "\r\n",
		"000 with a response as a body": "HTTP/1.1 000 \r\n" + lines + "\r\n" + head(idPlaceholder) + good,
		"000 before a response":         "HTTP/1.1 000 \r\n\r\n" + head(idPlaceholder) + good,
		"000 that says not run":         "HTTP/1.1 000 \r\n" + lines + "Not-Run: 1\r\n" + good,
		"099":                           "HTTP/1.1 099 Low\r\n" + lines + good,
		"with a plus sign":              "HTTP/1.1 +20 OK\r\n" + lines + good,
		"with a minus sign":             "HTTP/1.1 -00 OK\r\n" + lines + good,
		"two digits":                    "HTTP/1.1 20 OK\r\n" + lines + good,
		"four digits":                   "HTTP/1.1 2000 OK\r\n" + lines + good,
		"no digits":                     "HTTP/1.1 2xx OK\r\n" + lines + good,
		"none":                          "HTTP/1.1\r\n" + lines + good,
		"switching protocols":           "HTTP/1.1 101 Switching Protocols\r\n" + lines + "Connection: upgrade\r\nUpgrade: other\r\n\r\n",
		"version 2":                     "HTTP/2.0 200 OK\r\n" + lines + good,
		"version 0":                     "HTTP/0.9 200 OK\r\n" + lines + good,
	} {
		t.Run(name, func(t *testing.T) { checkNoResponse(t, text) })
	}
}

// Guards against a field whose name is none: its line was passed on to the caller, or a length or a coding that the backend server
// meant was not seen, so that the caller got another body, and a claim that the request has not run was believed.
func TestResponseWithABrokenFieldNameIsNone(t *testing.T) {
	const good = "Content-Length: 4\r\n\r\ngood"
	refused := "HTTP/1.1 503 Service Unavailable\r\n" + idLine(idPlaceholder) + "Not-Run: 1\r\n"
	for name, text := range map[string]string{
		"blank inside":                          head(idPlaceholder) + "X Bad: 1\r\n" + good,
		"blank before the colon":                head(idPlaceholder) + "X-Bad : 1\r\n" + good,
		"blank before the colon of the length":  head(idPlaceholder) + "Content-Length : 4\r\n\r\ngood",
		"blank before the colon of the coding":  head(idPlaceholder) + "Transfer-Encoding : chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
		"blank before the colon of Connection":  head(idPlaceholder) + "Connection : close\r\n" + good,
		"blank before the name":                 head(idPlaceholder) + "X-Good: 1\r\n X-Bad: 1\r\n" + good,
		"tab before the name":                   head(idPlaceholder) + "X-Good: 1\r\n\tX-Bad: 1\r\n" + good,
		"blank before the first name":           "HTTP/1.1 200 OK\r\n X-Bad: 1\r\n" + idLine(idPlaceholder) + "Signature: s\r\n" + good,
		"blank before the name of the length":   head(idPlaceholder) + "X-Good: 1\r\n Content-Length: 4\r\n\r\ngood",
		"line of a blank":                       head(idPlaceholder) + " \r\n" + good,
		"line of a blank before a second head":  head(idPlaceholder) + " \r\n" + head(idPlaceholder) + good,
		"tab inside":                            head(idPlaceholder) + "X\tBad: 1\r\n" + good,
		"tab before the colon":                  head(idPlaceholder) + "X-Bad\t: 1\r\n" + good,
		"control byte inside":                   head(idPlaceholder) + "X-\x01Bad: 1\r\n" + good,
		"NUL inside":                            head(idPlaceholder) + "X-\x00Bad: 1\r\n" + good,
		"delete inside":                         head(idPlaceholder) + "X-\x7fBad: 1\r\n" + good,
		"carriage return inside":                head(idPlaceholder) + "X-\rBad: 1\r\n" + good,
		"carriage return before the name":       head(idPlaceholder) + "\rX-Bad: 1\r\n" + good,
		"line feed inside":                      head(idPlaceholder) + "X-\nBad: 1\r\n" + good,
		"byte above ASCII":                      head(idPlaceholder) + "X-B\xe4d: 1\r\n" + good,
		"no name":                               head(idPlaceholder) + ": 1\r\n" + good,
		"no colon":                              head(idPlaceholder) + "X-Bad\r\n" + good,
		"control byte in a value":               head(idPlaceholder) + "X-Bad: \x01\r\n" + good,
		"carriage return in a value":            head(idPlaceholder) + "X-Bad: a\rb\r\n" + good,
		"in an informational head":              "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + head(idPlaceholder) + good,
		"before the name, informational head":   "HTTP/1.1 103 Early Hints\r\nX-Good: 1\r\n X-Bad: 1\r\n\r\n" + head(idPlaceholder) + good,
		"behind an informational head":          "HTTP/1.1 103 Early Hints\r\n\r\n" + head(idPlaceholder) + "X Bad: 1\r\n" + good,
		"in a refusal":                          refused + "X Bad: 1\r\n" + good,
		"before the name, in a refusal":         refused + "X-Good: 1\r\n X-Bad: 1\r\n" + good,
		"behind the name of the refusal":        "HTTP/1.1 421 Misdirected Request\r\n" + idLine(idPlaceholder) + "X-Bad : 1\r\n" + good,
		"in a trailer":                          head(idPlaceholder) + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nX Bad: 1\r\n\r\n",
		"behind many good ones":                 head(idPlaceholder) + strings.Repeat("X-Good: "+strings.Repeat("g", 90)+"\r\n", 200) + "X Bad: 1\r\n" + good,
		"cut, and the rest of the head missing": head(idPlaceholder) + "X Bad: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkNoResponse(t, text) })
	}
}

// Guards against a sound response that is refused because it is unusual.
func TestUnusualResponsesAreReturned(t *testing.T) {
	const good = "Content-Length: 4\r\n\r\ngood"
	for name, text := range map[string]string{
		"no reason phrase":               strings.Replace(head(idPlaceholder), " OK", "", 1) + good,
		"latin-1 in the reason phrase":   strings.Replace(head(idPlaceholder), "OK", "gr\xfcn", 1) + good,
		"all characters of a name":       head(idPlaceholder) + "!#$%&'*+-.^_`|~09azAZ: 1\r\n" + good,
		"name of one digit":              head(idPlaceholder) + "0: 1\r\n" + good,
		"lower-case names":               strings.ToLower(head(idPlaceholder)[17:]) + good,
		"empty value":                    head(idPlaceholder) + "X-Empty:\r\n" + good,
		"value of blanks":                head(idPlaceholder) + "X-Blank: \t \r\n" + good,
		"colons, blanks, tab in a value": head(idPlaceholder) + "X-Value:a: b\tc :d\r\n" + good,
		"latin-1 in a value":             head(idPlaceholder) + "X-Value: gr\xfcn\r\n" + good,
		"lines that end with line feeds": strings.ReplaceAll(head(idPlaceholder)+"Content-Length: 4\r\n\r\n", "\r\n", "\n") + "good",
		"informational heads":            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + head(idPlaceholder) + good,
		"chunks with extension, trailer": head(idPlaceholder) + "Transfer-Encoding: Chunked\r\n\r\n2;a=b\r\ngo\r\n2\r\nod\r\n0\r\nX-Sum: 1\r\n\r\n",
		"a long head":                    head(idPlaceholder) + strings.Repeat("X-Good: "+strings.Repeat("g", 90)+"\r\n", 200) + good,
		"the same length twice":          head(idPlaceholder) + "Content-Length: 4\r\n" + good,
		"version 1.0":                    strings.Replace(head(idPlaceholder), "1.1", "1.0", 1) + good,
	} {
		t.Run(name, func(t *testing.T) {
			if !strings.HasPrefix(text, "HTTP/") {
				text = "HTTP/1.1 200 OK\r\n" + text
			}
			server := newTroubledServer(t, func(conn net.Conn, id string) {
				write(conn, strings.ReplaceAll(text, idPlaceholder, id))
			})
			is := is.New(t)
			client := newIdentifyingClient()
			defer client.SetMaxConnections(1) // closes the idle connections
			got := server.run(t, client, smallBody, true)
			is.NoErr(got.Err)
			is.Equal(got.Reply.Outcome, call.Ran)
			is.Equal(string(got.Reply.Body), "good")
		})
	}
}

// wellFormedHead matches the heads of RFC 9112, sections 4 and 5, with line feeds that may stand alone.
var wellFormedHead = regexp.MustCompile("^HTTP/1\\.[0-9] +[1-9][0-9][0-9]( [^\\n]*)?\\n" +
	"([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*\\r?\\n)*\\r?\\n")

// Guards against a head that is broken by a single byte and still believed: each byte of it is replaced in turn, and each byte
// inserted before it, and the backend server then ends the connection.
func TestHeadWithABrokenByteIsNotBelieved(t *testing.T) {
	is := is.New(t)
	var response atomic.Value
	server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
		_ = nextID(requests)
		write(conn, response.Load().(string))
	})
	client := newIdentifyingClient()
	believed := 0
	for _, whole := range []string{result("a"), refusal("a")} {
		for position := range strings.Index(whole, "\r\n\r\n") + 4 {
			for _, b := range []byte("\x00\x01\t\n\r :,/0a\x7f\x80") {
				for skipped := range 2 {
					text := whole[:position] + string([]byte{b}) + whole[position+skipped:]
					response.Store(text)
					reply := client.Run(t.Context(), backend.Target{Address: server.address}, newRequestWithID("a")).Reply
					if reply.Outcome != call.Unknown && !wellFormedHead.MatchString(text) {
						t.Errorf("outcome %v of %q", reply.Outcome, text)
					}
					if reply.Outcome != call.Unknown {
						believed++
					}
				}
			}
		}
	}
	is.True(believed > 0)
}

// Guards against a body whose length is contradictory, so that another one than the backend server's may be returned, or the
// bytes of a body are taken for the next response.
func TestResponseWithContradictoryFramingIsNone(t *testing.T) {
	const chunks = "4\r\ngood\r\n0\r\n\r\n"
	refused := "HTTP/1.1 503 Service Unavailable\r\n" + idLine(idPlaceholder) + "Not-Run: 1\r\n"
	version0 := strings.Replace(head(idPlaceholder), "1.1", "1.0", 1)
	response := head(idPlaceholder) + "Content-Length: 4\r\n\r\ngood"
	for name, test := range map[string]struct {
		text string
		// ends tells that the backend server ends the connection behind it.
		ends bool
	}{
		"length and chunks":                     {head(idPlaceholder) + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, false},
		"chunks and length":                     {head(idPlaceholder) + "Transfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n" + chunks, false},
		"length and chunks, in a refusal":       {refused + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, false},
		"chunks in version 1.0":                 {version0 + "Transfer-Encoding: chunked\r\n\r\n" + chunks, true},
		"chunks and length in version 1.0":      {version0 + "Transfer-Encoding: chunked\r\nContent-Length: 14\r\n\r\n" + chunks, true},
		"unequal lengths":                       {head(idPlaceholder) + "Content-Length: 4\r\nContent-Length: 5\r\n\r\ngoods", true},
		"two lengths in one field":              {head(idPlaceholder) + "Content-Length: 4, 4\r\n\r\ngood", true},
		"length with a sign":                    {head(idPlaceholder) + "Content-Length: +4\r\n\r\ngood", true},
		"length below 0":                        {head(idPlaceholder) + "Content-Length: -1\r\n\r\ngood", true},
		"length that is no number":              {head(idPlaceholder) + "Content-Length: 0x4\r\n\r\ngood", true},
		"empty length":                          {head(idPlaceholder) + "Content-Length:\r\n\r\ngood", true},
		"length above 64 bits":                  {head(idPlaceholder) + "Content-Length: 18446744073709551620\r\n\r\ngood", true},
		"unknown coding":                        {head(idPlaceholder) + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks, true},
		"chunks twice":                          {head(idPlaceholder) + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, true},
		"informational head with a length":      {"HTTP/1.1 103 Early Hints\r\nContent-Length: " + strconv.Itoa(len(strings.Replace(response, idPlaceholder, "broken", 1))) + "\r\n\r\n" + response, false},
		"informational head in chunks":          {"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n" + response, false},
		"no content, with a length":             {strings.Replace(head(idPlaceholder), "200 OK", "204 No Content", 1) + "Content-Length: 4\r\n\r\ngood", false},
		"no content, in chunks":                 {strings.Replace(head(idPlaceholder), "200 OK", "204 No Content", 1) + "Transfer-Encoding: chunked\r\n\r\n" + chunks, false},
		"body shorter than its length":          {head(idPlaceholder) + "Content-Length: 5\r\n\r\ngood", true},
		"body of nothing, shorter":              {head(idPlaceholder) + "Content-Length: 5\r\n\r\n", true},
		"chunk shorter than its size":           {head(idPlaceholder) + "Transfer-Encoding: chunked\r\n\r\n5\r\ngood\r\n0\r\n\r\n", true},
		"chunk longer than its size":            {head(idPlaceholder) + "Transfer-Encoding: chunked\r\n\r\n3\r\ngood\r\n0\r\n\r\n", true},
		"chunk size that is no number":          {head(idPlaceholder) + "Transfer-Encoding: chunked\r\n\r\ng\r\ngood\r\n0\r\n\r\n", true},
		"chunk size with a sign":                {head(idPlaceholder) + "Transfer-Encoding: chunked\r\n\r\n+4\r\ngood\r\n0\r\n\r\n", true},
		"chunk size missing":                    {head(idPlaceholder) + "Transfer-Encoding: chunked\r\n\r\n\r\ngood\r\n0\r\n\r\n", true},
		"chunk size that ends with a line feed": {head(idPlaceholder) + "Transfer-Encoding: chunked\r\n\r\n4\ngood\r\n0\r\n\r\n", true},
		"last chunk missing":                    {head(idPlaceholder) + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", true},
		"empty line behind the chunks missing":  {head(idPlaceholder) + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			forEachWay(t, func(t *testing.T, bodySize int, kept bool) {
				server := newTroubledServer(t, func(conn net.Conn, id string) {
					write(conn, strings.ReplaceAll(test.text, idPlaceholder, id))
					if test.ends {
						_ = conn.(*net.TCPConn).CloseWrite()
					}
				})
				server.checkNoReply(t, bodySize, kept)
			})
		})
	}
}

// Guards against a sound response without a body that is refused for what its head says about one.
func TestResponsesWithoutABodyAreReturned(t *testing.T) {
	for name, text := range map[string]string{
		"no content":                       strings.Replace(head(idPlaceholder), "200 OK", "204 No Content", 1) + "\r\n",
		"no content, with a length of 0":   strings.Replace(head(idPlaceholder), "200 OK", "204 No Content", 1) + "Content-Length: 0\r\n\r\n",
		"not modified, with a length":      strings.Replace(head(idPlaceholder), "200 OK", "304 Not Modified", 1) + "Content-Length: 4\r\n\r\n",
		"not modified, in chunks":          strings.Replace(head(idPlaceholder), "200 OK", "304 Not Modified", 1) + "Transfer-Encoding: chunked\r\n\r\n",
		"informational with a length of 0": "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" + head(idPlaceholder) + "Content-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newTroubledServer(t, func(conn net.Conn, id string) {
				write(conn, strings.ReplaceAll(text, idPlaceholder, id))
			})
			client := newIdentifyingClient()
			defer client.SetMaxConnections(1) // closes the idle connections
			got := server.run(t, client, smallBody, true)
			is.NoErr(got.Err)
			is.Equal(got.Reply.Outcome, call.Ran)
			is.Equal(len(got.Reply.Body), 0)
		})
	}
}
