// Package baseline is a simple client-side load balancer to compare comfreyhoist with. It uses all instances round
// robin, retries three times at every level of the call chain, and sheds nothing.
//
// # Usage
//
//	err := baseline.Serve(ctx, "127.0.0.1:8001", baseline.New(instances))
package baseline

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/julienschmidt/httprouter"

	"github.com/comfreyhoist/comfreyhoist/internal/traffic/backend"
	"github.com/comfreyhoist/comfreyhoist/internal/traffic/caller"
)

// Retries is how often a failed request is retried at each level of the call chain.
const Retries = 3

// Balancer forwards calls to backend servers.
type Balancer struct {
	instances map[string][]string
	next      atomic.Uint64
	client    *http.Client
}

// New returns a balancer for the addresses of each service's backend servers.
func New(instances map[string][]string) *Balancer {
	return &Balancer{
		instances: instances,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerInstance}},
	}
}

// idlePerInstance is the number of idle connections kept to each backend server.
const idlePerInstance = 300

// Serve answers calls at the address until the context ends.
func Serve(ctx context.Context, address string, b *Balancer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	router := httprouter.New()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		router.Handle(method, caller.Path, b.serve)
	}
	server := &http.Server{Handler: router}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return trace.Wrap(server.Serve(listener))
}

func (b *Balancer) serve(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	instances := b.instances[p.ByName("service")]
	if len(instances) == 0 {
		http.Error(w, "unknown service", http.StatusNotFound)
		return
	}
	status, content := http.StatusBadGateway, []byte(nil)
	for range Retries + 1 {
		address := instances[b.next.Add(1)%uint64(len(instances))]
		status, content = b.sendOnce(r, "http://"+address+p.ByName("path"), body)
		if status < http.StatusInternalServerError || r.Context().Err() != nil {
			break
		}
	}
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func (b *Balancer) sendOnce(r *http.Request, address string, body []byte) (int, []byte) {
	request, err := http.NewRequestWithContext(r.Context(), r.Method, address, bytes.NewReader(body))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	request.Header = backend.EndToEnd(r.Header)
	response, err := b.client.Do(request)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	return response.StatusCode, content
}
