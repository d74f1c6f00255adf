package zone

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// tasks runs functions in goroutines of their own, at most one per name at a time, so that a slow node or a slow
// platform does not delay the controller.
type tasks struct {
	group conc.WaitGroup

	mu      sync.Mutex
	running map[string]bool
}

func newTasks() *tasks {
	return &tasks{running: map[string]bool{}}
}

// start runs f unless a function with the same name is still running.
func (t *tasks) start(name string, f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[name] {
		return
	}
	t.running[name] = true
	t.group.Go(func() {
		defer t.end(name)
		f()
	})
}

func (t *tasks) end(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, name)
}

func (t *tasks) wait() {
	t.group.Wait()
}
