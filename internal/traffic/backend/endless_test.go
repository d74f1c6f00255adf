package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/call"
)

// Guards against a backend server that sends bytes without end, in a header or a body, until its connection is closed:
// the request must fail soon, the connection must be closed, and memory must stay flat.
func TestEndlessResponsesAreBounded(t *testing.T) {
	block := strings.Repeat("x", 16<<10)
	for name, test := range map[string]struct {
		begin, repeated string
		want            call.Reason
	}{
		"status line":             {"HTTP/1.1 200 ", block, call.ReasonBackendFailed},
		"header line":             {"HTTP/1.1 200 OK\r\nX-Long: ", block, call.ReasonBackendFailed},
		"header lines":            {"HTTP/1.1 200 OK\r\n", "X-Line: " + block + "\r\n", call.ReasonBackendFailed},
		"informational responses": {"", "HTTP/1.1 100 Continue\r\n\r\n", call.ReasonBackendFailed},
		"no response":             {"", block, call.ReasonBackendFailed},
		"body without length":     {"HTTP/1.1 200 OK\r\n\r\n", block, call.ReasonResponseTooLarge},
		"chunks":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4000\r\n" + block + "\r\n", call.ReasonResponseTooLarge},
		"chunk header":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4000;", block, call.ReasonBackendFailed},
		"after a whole response":  {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", block, call.ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var open atomic.Int32
			server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
				open.Add(1)
				defer open.Add(-1)
				if _, err := http.ReadRequest(requests); err != nil {
					return
				}
				_, err := io.WriteString(conn, test.begin)
				for err == nil {
					_, err = io.WriteString(conn, test.repeated)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			begin := time.Now()
			result := newClient().Run(ctx, backend.Target{Address: server.address}, newRequest(http.MethodGet, "", ""))
			is.Equal(result.Reply.Reason, test.want)
			is.True(time.Since(begin) < time.Second)
			harness.Eventually(t, 10*time.Second, func() bool { return open.Load() == 0 })
		})
	}
}

// Guards against a node that runs out of memory because all requests of its backend server get a body without end, or one
// with a length that never arrives.
func TestManyEndlessBodiesNeedLittleMemory(t *testing.T) {
	const requests, maxBody, maxHeap = 300, 1 << 20, 96 << 20
	for name, test := range map[string]struct {
		header string
		// blocks is how many blocks arrive before a pause of 500 ms, in which the memory is measured.
		blocks int
	}{
		"without length": {"HTTP/1.1 200 OK\r\n\r\n", 50},
		"with a length":  {"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			block := strings.Repeat("x", 16<<10)
			server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
				if _, err := http.ReadRequest(requests); err != nil {
					return
				}
				_, err := io.WriteString(conn, test.header)
				for sent := 0; err == nil; sent++ {
					if sent == test.blocks {
						time.Sleep(500 * time.Millisecond)
					}
					_, err = io.WriteString(conn, block)
				}
			})
			client := backend.NewClient(backend.ClientConfig{MaxBody: maxBody}, call.NewRunningRequests())
			client.SetMaxConnections(requests)
			var group conc.WaitGroup
			for range requests {
				group.Go(func() {
					client.Run(t.Context(), backend.Target{Address: server.address}, newRequest(http.MethodGet, "", ""))
				})
			}
			time.Sleep(400 * time.Millisecond)
			var stats runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&stats)
			t.Logf("%d MiB", stats.HeapAlloc>>20)
			is.True(stats.HeapAlloc < maxHeap)
			group.Wait()
		})
	}
}

// Guards against a node that runs out of memory because its backend server sends all requests bytes without end, in a head or
// in a body, or announces bodies that never arrive.
func TestManyEndlessResponsesNeedLittleMemory(t *testing.T) {
	const requests, maxBody, memory = 1000, 1 << 20, 184 << 20
	previous := debug.SetMemoryLimit(memory * 60 / 100) // as a node sets it
	defer debug.SetMemoryLimit(previous)
	block := strings.Repeat("x", 16<<10)
	for name, test := range map[string]struct {
		head string
		// parts are sent one after the other, and then again.
		parts []string
		// pauseAfter is after how many parts the server pauses for 500 ms, in which the memory is measured too.
		pauseAfter int
	}{
		"body without length":   {"HTTP/1.1 200 OK\r\n\r\n", []string{block}, 50},
		"chunks":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", []string{"4000\r\n" + block + "\r\n"}, 50},
		"body with a length":    {"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n", []string{block}, 0},
		"part of a long body":   {"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n", []string{block}, 50},
		"no response":           {"", []string{block[:4<<10]}, 15},
		"header line":           {"HTTP/1.1 200 OK\r\nX-Long: ", []string{block[:4<<10]}, 15},
		"short header lines":    {"HTTP/1.1 200 OK\r\n", headerLines(100), 60},
		"shortest header lines": {"HTTP/1.1 200 OK\r\n", []string{strings.Repeat("a:\r\n", 1000)}, 15},
		"informational heads":   {"HTTP/1.1 103 Early Hints\r\n\r\n", []string{"HTTP/1.1 103 Early Hints\r\n" + headerLines(1)[0] + "\r\n"}, 50},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := newScriptedServer(t, func(conn net.Conn, requests *bufio.Reader) {
				if _, err := http.ReadRequest(requests); err != nil {
					return
				}
				_, err := io.WriteString(conn, test.head)
				for sent := 0; err == nil; sent++ {
					if sent == test.pauseAfter {
						time.Sleep(500 * time.Millisecond)
					}
					_, err = io.WriteString(conn, test.parts[sent%len(test.parts)])
				}
			})
			client := backend.NewClient(backend.ClientConfig{MaxBody: maxBody}, call.NewRunningRequests())
			client.SetMaxConnections(requests)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var group conc.WaitGroup
			for range requests {
				group.Go(func() {
					client.Run(ctx, backend.Target{Address: server.address}, newRequest(http.MethodGet, "", ""))
				})
			}
			most := mostMemory(700 * time.Millisecond)
			t.Logf("%d MiB", most>>20)
			is.True(most < memory)
			group.Wait()
		})
	}
}

// headerLines returns parts of 100 header lines each, all with different names.
func headerLines(parts int) []string {
	const linesPerPart, base = 100, 36
	lines := make([]string, parts)
	for n := range parts * linesPerPart {
		lines[n/linesPerPart] += strconv.FormatInt(int64(n), base) + ":\r\n"
	}
	return lines
}

// mostMemory measures the memory of the process for a while, and returns the most bytes, garbage included.
func mostMemory(duration time.Duration) uint64 {
	var most uint64
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		most = max(most, stats.Sys-stats.HeapReleased)
	}
	return most
}
