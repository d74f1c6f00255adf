package admission

import "container/heap"

// indexedHeap is a heap ordered by less. Each item stores its own index, so that it can be moved or removed.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(T) *int
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*h.index(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	return item
}

func (h *indexedHeap[T]) add(item T)    { heap.Push(h, item) }
func (h *indexedHeap[T]) fix(item T)    { heap.Fix(h, *h.index(item)) }
func (h *indexedHeap[T]) remove(item T) { heap.Remove(h, *h.index(item)) }

// top returns the first item. The heap must not be empty.
func (h *indexedHeap[T]) top() T { return h.items[0] }
