package routed_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a backend server that sends its node a head without end, on the interface for announcements, which is kept
// until memory runs out. The node must refuse it after a usual header's size.
func TestEndlessHeadOfAnAnnouncementIsRefused(t *testing.T) {
	const maxHead = 256 << 10 // bytes
	is := is.New(t)
	f := newFleet(t, twoServices(1))
	n := f.add(t, "zone_1", "crew", hello)
	conn, err := net.Dial("tcp", n.settings.Backend.Address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	_, err = io.WriteString(conn, "PUT /instances/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Long: "+strings.Repeat("x", maxHead)+"\r\n\r\n")
	if err != nil {
		return // the node closed the connection
	}
	answer, err := io.ReadAll(conn)
	isReset := errors.Is(err, syscall.ECONNRESET) // the node closed the connection before it read everything
	is.True(isReset || strings.Contains(string(answer), http.StatusText(http.StatusRequestHeaderFieldsTooLarge)))
}
