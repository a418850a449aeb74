package runtimes

import (
	"container/list"
	"iter"
)

// lru is a map of at most limit entries. It evicts the least recently added one.
type lru[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	order   *list.List // of *lruEntry[K, V], the most recently added first
	evicted func(*V)   // is called with each evicted value, may be nil
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](limit int) *lru[K, V] {
	return &lru[K, V]{limit: limit, entries: map[K]*list.Element{}, order: list.New()}
}

// add returns the value of the key, a new one if there is none, and makes it the
// most recently added.
func (l *lru[K, V]) add(key K) *V {
	if e, found := l.entries[key]; found {
		l.order.MoveToFront(e)
		return &e.Value.(*lruEntry[K, V]).value
	}
	if len(l.entries) >= l.limit {
		oldest := l.order.Remove(l.order.Back()).(*lruEntry[K, V])
		delete(l.entries, oldest.key)
		if l.evicted != nil {
			l.evicted(&oldest.value)
		}
	}
	entry := &lruEntry[K, V]{key: key}
	l.entries[key] = l.order.PushFront(entry)
	return &entry.value
}

// peek returns the value of the key, nil if there is none.
func (l *lru[K, V]) peek(key K) *V {
	if e, found := l.entries[key]; found {
		return &e.Value.(*lruEntry[K, V]).value
	}
	return nil
}

// all returns the entries, the most recently added first.
func (l *lru[K, V]) all() iter.Seq2[K, *V] {
	return func(yield func(K, *V) bool) {
		for e := l.order.Front(); e != nil; e = e.Next() {
			entry := e.Value.(*lruEntry[K, V])
			if !yield(entry.key, &entry.value) {
				return
			}
		}
	}
}
