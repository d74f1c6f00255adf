package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// smugglers is the number of connections on which a request is hidden in the body of another.
const smugglers = 20

// rawRequest returns the bytes of a request. lengthField is what stands before the length of its body.
func rawRequest(method, path, id, lengthField, body string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" + idHeader + ": " + id + "\r\n" + deadlineHeader + ": " +
		strconv.FormatInt(clientBudget.Milliseconds(), 10) + "\r\n" + lengthField + " " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// exchangeRaw sends the bytes on a new connection to the node and returns the statuses of the answers until nothing follows.
func exchangeRaw(m *machine, text string) ([]int, error) {
	conn, err := net.Dial("tcp", m.outbound)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, text); err != nil {
		return nil, err
	}
	var statuses []int
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses, nil
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		statuses = append(statuses, response.StatusCode)
	}
}

// smuggled sends orders whose body looks like a request, and whose length field has a blank before its colon.
func smuggled(d *deployment, trouble bool) (int, error) {
	f, err := startOrders(d, "zone-a", "zone-b")
	if err != nil {
		return failed, err
	}
	lengthField := "Content-Length:"
	if trouble {
		lengthField = "Content-Length :"
	}
	sent := map[string]bool{}
	for n := range smugglers {
		id, hidden := fmt.Sprintf("order%04d", n), fmt.Sprintf("hidden%04d", n)
		sent[id] = true
		body := rawRequest(http.MethodPost, "/orders/"+hidden, hidden, "Content-Length:", "charge 1000")
		d.record.line("client sends %s to %s, %q, with a body of %d bytes", id, f.front.name, lengthField, len(body))
		statuses, err := exchangeRaw(f.front, rawRequest(http.MethodPost, "/orders/"+id, id, lengthField, body))
		d.record.line("client gets %v for %s: %v", statuses, id, err)
		time.Sleep(100 * time.Millisecond)
	}
	return judgeSmuggled(d, f.orders, sent)
}

// judgeSmuggled looks for requests at the upstreams that no client sent.
func judgeSmuggled(d *deployment, upstreams []*upstream, sent map[string]bool) (int, error) {
	ran, unsent := 0, 0
	for _, u := range upstreams {
		for _, r := range u.runsAfter(time.Time{}) {
			if sent[r.id] {
				ran++
				continue
			}
			unsent++
			d.record.line("not sent: upstream %s ran %s %s %s", u.id, r.id, r.method, r.path)
		}
	}
	d.record.say("orders sent: %d, of which ran: %d; requests that ran and nobody sent: %d", len(sent), ran, unsent)
	if unsent > 0 {
		d.record.say("UNASKED is broken")
		return broken, nil
	}
	if ran == 0 {
		return failed, errors.New("no order ran")
	}
	d.record.say("UNASKED held")
	return held, nil
}
