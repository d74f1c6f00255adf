package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreyhoist/comfreyhoist/internal/lab/fleet"
)

// Guards against a second signal that ends a draining node and so interrupts its requests.
func TestSignalsWhileDraining(t *testing.T) {
	directory := t.TempDir()
	binary, err := fleet.Build(t.Context(), directory)
	if err != nil {
		t.Fatal(err)
	}
	address := 0
	for name, second := range map[string]syscall.Signal{
		"SIGTERM again": syscall.SIGTERM,
		"SIGHUP":        syscall.SIGHUP,
	} {
		address++
		settings := filepath.Join(directory, fmt.Sprintf("%d.ini", address))
		ip := fmt.Sprintf("127.0.77.%d", address)
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(os.WriteFile(settings, []byte(routesSettings(ip)), 0o600))
			node := exec.Command(binary, "node", "-config", settings)
			out, err := node.StdoutPipe()
			is.NoErr(err)
			is.NoErr(node.Start())
			stuck := time.AfterFunc(30*time.Second, func() { _ = node.Process.Kill() })
			defer stuck.Stop()
			seen := ""
			for lines := bufio.NewScanner(out); lines.Scan(); {
				seen += lines.Text() + "\n"
				switch {
				case strings.Contains(lines.Text(), "node_started"):
					is.NoErr(node.Process.Signal(syscall.SIGTERM))
				case strings.Contains(lines.Text(), "drain_started"):
					time.Sleep(time.Second) // the drain takes longer
					is.NoErr(node.Process.Signal(second))
				}
			}
			is.NoErr(node.Wait())
			is.True(strings.Contains(seen, "drain_finished"))
		})
	}
}

// routesSettings returns the settings of a node that is configured by routes and whose store is unreachable.
func routesSettings(ip string) string {
	return strings.ReplaceAll(`[node]
name = node_1
zone = zone_1
zones = zone_1
service = front

[caller]
address = IP:18401

[ready]
address = IP:18402

[peer]
address = IP:18403

[backend]
address = IP:18404

[platform]
url = http://IP:18405
source = routes
`, "IP", ip)
}
