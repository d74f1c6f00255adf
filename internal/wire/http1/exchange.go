package http1

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/gravitational/trace"
)

// Exchange sends the request, checks the head of the response and passes the response to read. After an ErrMalformed, also of
// read, the connection is closed, so that it carries nothing more.
func Exchange(client *http.Client, request *http.Request, read func(response *http.Response) error) error {
	var conn net.Conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
	})
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return trace.ConnectionProblem(err, "%v", err)
	}
	defer func() { _ = response.Body.Close() }()
	err = CheckHead(response)
	if err == nil {
		err = read(response)
	}
	if conn != nil && errors.Is(err, ErrMalformed) {
		_ = conn.Close()
	}
	return err
}

// ReadJSON reads the body of a response, which holds JSON or nothing, of at most limit bytes. The end of a body without a length
// may be that of a broken connection, so that it has to be that of its JSON, too.
func ReadJSON(response *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "reading the response: %v", err)
	}
	if int64(len(body)) > limit {
		return nil, trace.LimitExceeded("the response has more than %d bytes", limit)
	}
	isFramed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if !isFramed && !json.Valid(body) {
		return nil, fmt.Errorf("%w: its body has no length and ends within its JSON", ErrMalformed)
	}
	return body, nil
}
