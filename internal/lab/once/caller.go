// Package once sends non-idempotent requests, resends them hard through other nodes while faults go on, and compares
// what callers were told with what the backend servers' ledgers hold.
//
// # Usage
//
//	report := once.Run(ctx, once.Config{Fleet: f, Service: "bookings", Duration: time.Minute, Seed: 7})
//	for _, v := range report.Violations { ... }
package once

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/caller"
)

// KeyKind is where the key of a request comes from.
type KeyKind string

// The kinds.
const (
	// Timed keys are UUIDv7 of the caller.
	Timed KeyKind = "timed"
	// Opaque keys are of the caller and carry no time.
	Opaque KeyKind = "opaque"
	// Minted keys are made by the entry node. The caller sends one again once it has been told.
	Minted KeyKind = "minted"
	// None is for idempotent requests; only polite callers send them.
	None KeyKind = "none"
)

var (
	keyKinds        = []KeyKind{Timed, Opaque, Minted}
	singleSendKinds = []KeyKind{Timed, Opaque, Minted, None}
)

// Send is one request as its caller saw it.
type Send struct {
	Begin   time.Time
	End     time.Time
	Key     string
	Target  string
	Status  int
	Outcome string
	Reason  string
	Body    string
	// Refused says that the connection could not be made, so that nothing was sent.
	Refused bool
	// Error is what went wrong where there was no answer.
	Error string
}

// Answered reports whether the caller got a whole answer.
func (s Send) Answered() bool {
	return s.Status != 0
}

// Failed reports whether a caller that uses nodes that are up sees a failure.
func (s Send) Failed() bool {
	return !s.Refused && s.Status != http.StatusOK
}

// Booking is one piece of work that a caller wants done once.
type Booking struct {
	ID    string
	Kind  KeyKind
	Begin time.Time
	Sends []Send
}

// Ran reports whether the caller was told that the booking ran.
func (b Booking) Ran() bool {
	for _, s := range b.Sends {
		if s.Outcome == "ran" {
			return true
		}
	}
	return false
}

const (
	// requestTimeout is how long a caller waits for one answer.
	requestTimeout = 1500 * time.Millisecond
	// maxRounds is how often a caller sends one booking.
	maxRounds = 12
	// maxCopies is how many copies a caller sends at the same moment.
	maxCopies = 3
	// roundPause is the most that a caller waits between rounds.
	roundPause = 400 * time.Millisecond
)

// callers sends bookings from many goroutines.
type callers struct {
	service    string
	targets    []string
	singleSend bool
	// keepAliveClient keeps connections and, as clients do, sends a request with a key again by itself where a kept
	// connection ends before any answer; once makes a connection for each request.
	keepAliveClient *http.Client
	singleUseClient *http.Client

	mu       sync.Mutex
	bookings []Booking
}

func newCallers(config Config) *callers {
	return &callers{
		service:         config.Service,
		targets:         config.Fleet.Callers(),
		singleSend:      config.SingleSend,
		keepAliveClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerTarget}},
		singleUseClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// idlePerTarget is how many connections to one node are kept.
const idlePerTarget = 16

// run keeps sending bookings, one after the other, until the context ends.
func (c *callers) run(ctx context.Context, name string, random *rand.Rand) {
	kinds := keyKinds
	if c.singleSend {
		kinds = singleSendKinds
	}
	for number := 0; ctx.Err() == nil; number++ {
		b := Booking{ID: fmt.Sprintf("%s-%d", name, number), Kind: kinds[random.IntN(len(kinds))], Begin: time.Now()}
		if c.singleSend {
			c.bookOnce(&b, random)
		} else {
			c.book(ctx, &b, random)
		}
		c.mu.Lock()
		c.bookings = append(c.bookings, b)
		c.mu.Unlock()
	}
}

// bookOnce sends the booking once, to the first node that takes the connection.
func (c *callers) bookOnce(b *Booking, random *rand.Rand) {
	for {
		s := c.send(b, firstKey(b), c.targets[random.IntN(len(c.targets))])
		b.Sends = append(b.Sends, s)
		if !s.Refused {
			return
		}
	}
}

// book sends the booking in rounds until it is told to have run, and once more now and then.
func (c *callers) book(ctx context.Context, b *Booking, random *rand.Rand) {
	key := firstKey(b)
	sendAgain := random.IntN(4) == 0
	for round := 0; round < maxRounds && ctx.Err() == nil; round++ {
		copies := 1
		if key != "" {
			copies += random.IntN(maxCopies)
		}
		sends := c.round(b, key, copies, random)
		b.Sends = append(b.Sends, sends...)
		key = nextKey(key, sends)
		if key == "" || (b.Ran() && !sendAgain) {
			return
		}
		sendAgain = sendAgain && !b.Ran()
		time.Sleep(time.Duration(random.Int64N(int64(roundPause))))
	}
}

func firstKey(b *Booking) string {
	switch b.Kind {
	case Timed:
		return uuid.Must(uuid.NewV7()).String()
	case Opaque:
		return "booking-" + uuid.NewString()
	default:
		return ""
	}
}

// nextKey returns the key to send again under. Without one that was told, a booking can't be sent again.
func nextKey(key string, sends []Send) string {
	if key == "" {
		return sends[0].Key
	}
	return key
}

// round sends copies at the same moment and waits for all of their answers.
func (c *callers) round(b *Booking, key string, copies int, random *rand.Rand) []Send {
	sends := make([]Send, copies)
	targets := make([]string, copies)
	for i := range targets {
		targets[i] = c.targets[random.IntN(len(c.targets))]
	}
	var group conc.WaitGroup
	for i := range sends {
		group.Go(func() { sends[i] = c.send(b, key, targets[i]) })
	}
	group.Wait()
	return sends
}

// send sends one copy.
func (c *callers) send(b *Booking, key, target string) Send {
	client := c.singleUseClient
	if b.Kind == None || key != "" {
		client = c.keepAliveClient
	}
	o := Request{Target: target, Service: c.service, Method: http.MethodPost, Path: "/bookings", Key: key, Body: b.ID}
	if b.Kind == None {
		o.Method, o.Path = http.MethodGet, "/windows"
	}
	return SendRequest(client, o)
}

// Request is one request to send.
type Request struct {
	// Target is the caller address of a node.
	Target  string
	Service string
	Method  string
	Path    string
	// Key is empty for none.
	Key  string
	Body string
}

// SendRequest sends a request and returns what its caller saw.
func SendRequest(client *http.Client, o Request) (s Send) {
	s = Send{Begin: time.Now(), Key: o.Key, Target: o.Target}
	defer func() { s.End = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	address := "http://" + o.Target + "/call/" + o.Service + o.Path
	request, err := http.NewRequestWithContext(ctx, o.Method, address, strings.NewReader(o.Body))
	if err != nil {
		s.Error = err.Error()
		return s
	}
	if o.Key != "" {
		request.Header.Set(backend.KeyHeader, o.Key)
	}
	response, err := client.Do(request)
	if err != nil {
		s.Refused, s.Error = errors.Is(err, syscall.ECONNREFUSED), err.Error()
		return s
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		s.Error = err.Error()
		return s
	}
	s.readResponse(response, string(body))
	return s
}

// readResponse takes in the whole answer.
func (s *Send) readResponse(response *http.Response, body string) {
	s.Status, s.Body = response.StatusCode, body
	s.Outcome = response.Header.Get(caller.OutcomeHeader)
	s.Reason = response.Header.Get(caller.ReasonHeader)
	if key := response.Header.Get(backend.KeyHeader); key != "" {
		s.Key = key
	}
}
