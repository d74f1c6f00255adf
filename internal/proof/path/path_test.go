package path

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/proof/harness"
)

const token = "a-token-for-the-operator"

// nodeSetup holds the names and addresses of a node and its backend server.
type nodeSetup struct {
	name     string
	service  string
	calls    string
	caller   string
	peer     string
	backend  string
	operator string
	server   string
}

// The commands must work together as an operator runs them: store, nodes, backend servers, documents and load. Errors in flags or in
// the wiring between processes don't show in tests within one process.
func TestRequestThroughSeparateProcesses(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	buildBinaries(t, directory)
	store := freeAddress(t)
	startProcess(t, filepath.Join(directory, "hoistlab"), "store", "-address", store)
	first := newNodeSetup(t, "first", "bookings", "access/urgent/windows")
	second := newNodeSetup(t, "second", "access", "")
	for _, s := range []nodeSetup{first, second} {
		startProcess(t, filepath.Join(directory, "comfreyhoist"), "node",
			"-node.name", s.name, "-node.zone", "lisbon_1", "-node.zones", "lisbon_1",
			"-caller.address", s.caller, "-peer.address", s.peer, "-backend.address", s.backend,
			"-operator.address", s.operator, "-operator.tokens", "*:"+token, "-platform.url", "http://"+store)
		startProcess(t, filepath.Join(directory, "hoistlab"), "backend", "-service", s.service, "-address", s.server,
			"-node_backend", s.backend, "-node_caller", s.caller, "-calls", s.calls)
	}
	for _, s := range []nodeSetup{first, second} {
		document := filepath.Join(directory, s.service+".ini")
		text := "[service]\nname = " + s.service + "\nteam = crews\n\n[kind urgent]\npath = /urgent/*\nrank = 0\nidempotent = true\n"
		is.NoErr(os.WriteFile(document, []byte(text), 0o600))
		harness.Eventually(t, 30*time.Second, func() bool {
			put := exec.Command(filepath.Join(directory, "comfreyhoist"), "document", "put",
				"-address", first.operator, "-token", token, s.service, document)
			return put.Run() == nil
		})
	}
	// The request enters at the second node and runs on the backend server of the first.
	harness.Eventually(t, 30*time.Second, func() bool {
		response, err := http.Get("http://" + second.caller + "/call/bookings/urgent/today")
		return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
	})
	load := exec.Command(filepath.Join(directory, "hoistlab"), "load", "-targets", second.caller,
		"-service", "bookings", "-path", "/urgent/today", "-rate", "20", "-duration", "1s", "-timeout", "10s")
	table, err := load.Output()
	is.NoErr(err)
	is.True(regexp.MustCompile(`(?m)^0 +load +(\d+) +\d+ +100\.0 `).Match(table)) // every request succeeded
}

func buildBinaries(t *testing.T, directory string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Minute)
	defer cancel()
	command := exec.CommandContext(ctx, "go", "build", "-o", directory, "../../../cmd/...")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
}

func newNodeSetup(t *testing.T, name, service, calls string) nodeSetup {
	return nodeSetup{
		name:     name,
		service:  service,
		calls:    calls,
		caller:   freeAddress(t),
		peer:     freeAddress(t),
		backend:  freeAddress(t),
		operator: freeAddress(t),
		server:   freeAddress(t),
	}
}

// freeAddress returns a loopback address with a port that was free at the time of the call.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startProcess starts a process and terminates it at the end of the test.
func startProcess(t *testing.T, path string, arguments ...string) {
	t.Helper()
	command := exec.Command(path, arguments...)
	command.Stdout, command.Stderr = t.Output(), t.Output()
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGTERM)
		_ = command.Wait()
	})
}
