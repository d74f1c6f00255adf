package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

func init() { cases["memory"] = playMemory }

const (
	// memoryLimit is limits.memory-mb of the settings, in kB.
	memoryLimit = 284 << 10
	// usualClients is the number of clients, and burstFactor the number by which the burst multiplies it.
	usualClients = 40
	burstFactor  = 2.4
	burstTime    = 12 * time.Second
	// uploadBytes is the size of a body. The operator's limit is maxBodyBytes.
	uploadBytes = 1_040_000
	// chunkBytes is the size of the chunks that the clients send.
	chunkBytes = 16 << 10
	// maxLost is how many requests may end without an answer.
	maxLost = 3
)

// playMemory lets many clients upload documents at once. The platform kills a process that exceeds its memory.
func playMemory(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	var upstreams []*upstream
	for _, service := range []string{"bookings", "bookings", "bookings", "crews"} {
		m, err := d.addMachine(service)
		if err != nil {
			return false, err
		}
		u, err := m.newUpstream(36, func(*http.Request) (time.Duration, bool) { return 300 * time.Millisecond, false })
		if err != nil {
			return false, err
		}
		upstreams = append(upstreams, u)
	}
	d.maxBodyBytes = 1 << 20
	err := d.configure([]route{{
		Name: "orders", Host: "orders.example", Prefix: "/orders/", Kind: "non_idempotent", Timeout: "4500ms", Target: "4000ms", Priority: 2,
		Service: "bookings", MaxAttempts: 2,
	}}, "bookings", "crews")
	if err != nil {
		return false, err
	}
	if err := d.waitReady(); err != nil {
		return false, err
	}
	sleep(ctx, 2*contact)
	watching, stopWatching := context.WithCancel(ctx)
	var platform conc.WaitGroup
	kills := make(chan string, 1000)
	for _, m := range d.machines {
		platform.Go(func() { m.limitMemory(watching, kills) })
	}
	entry, count := d.machines[3], usualClients
	if trouble {
		count = int(usualClients * burstFactor)
	}
	uploads, stopUploads := context.WithTimeout(ctx, burstTime)
	defer stopUploads()
	d.record.printf("%d clients upload %d bytes each, again and again, to %s", count, uploadBytes, entry.name)
	lost := &lostRequests{}
	var clients conc.WaitGroup
	for range count {
		clients.Go(func() {
			for uploads.Err() == nil {
				entry.upload(uploads, lost)
				sleep(uploads, 200*time.Millisecond)
			}
		})
	}
	clients.Wait()
	stopWatching()
	platform.Wait()
	ran := map[string]bool{}
	for _, u := range upstreams {
		for _, a := range u.list() {
			ran[a.id] = true
		}
	}
	passedOn := 0
	for _, id := range lost.ids {
		if ran[id] {
			passedOn++
		}
	}
	d.record.printf("processes killed because of their memory: %d; requests on kept connections that reached an upstream and whose connection ended without an answer: %d",
		len(kills), passedOn)
	return passedOn > maxLost, nil
}

// upload sends bookings with a document on one connection, in chunks, until the connection or the context ends.
func (m *machine) upload(ctx context.Context, lost *lostRequests) {
	conn, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	piece := strings.Repeat("x", chunkBytes)
	for ctx.Err() == nil {
		id := fmt.Sprintf("r%06d", requestNumber.Add(1))
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		m.d.record.printf("client sends %s POST to %s", id, m.name)
		head := fmt.Sprintf("POST /orders/new HTTP/1.1\r\nHost: orders.example\r\n%s: %s\r\n%s: 5000\r\nTransfer-Encoding: chunked\r\n\r\n", idHeader, id, deadlineHeader)
		writer := bufio.NewWriter(conn)
		_, _ = io.WriteString(writer, head) // Flush reports errors
		for left := uploadBytes; left > 0; left -= chunkBytes {
			length := min(left, chunkBytes)
			_, _ = fmt.Fprintf(writer, "%x\r\n%s\r\n", length, piece[:length])
		}
		_, _ = io.WriteString(writer, "0\r\n\r\n")
		if writer.Flush() != nil {
			m.d.record.printf("the connection ended while %s was sent", id)
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			m.d.record.printf("client got no whole answer to %s: %v", id, err)
			lost.add(id)
			return
		}
		m.d.record.printf("client got %d for %s", response.StatusCode, id)
		if response.Close {
			return
		}
	}
}

// limitMemory kills the node's process when it exceeds the memory of its settings, as the platform does, and starts it again.
func (m *machine) limitMemory(ctx context.Context, kills chan<- string) {
	peak := 0
	for sleep(ctx, 5*time.Millisecond) {
		used := m.memory()
		peak = max(peak, used)
		if used <= memoryLimit {
			continue
		}
		m.d.record.printf("node %s: %d kB of memory, more than %d", m.name, used, memoryLimit)
		m.signal(syscall.SIGKILL)
		<-m.ended
		kills <- m.name
		sleep(ctx, restartPause)
		if err := m.start(); err != nil {
			m.d.record.printf("node %s doesn't start: %v", m.name, err)
			return
		}
	}
	m.d.record.printf("node %s: at most %d kB of memory", m.name, peak)
}

// memory returns the resident memory of the node's process in kB, or 0 if it has ended.
func (m *machine) memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			used, _ := strconv.Atoi(fields[1]) // the kernel writes a number
			return used
		}
	}
	return 0
}
