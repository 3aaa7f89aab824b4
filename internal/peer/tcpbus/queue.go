package tcpbus

import "sync"

// queue holds encoded frames for one peer, bounded by count and bytes. A push
// that exceeds a bound drops the oldest frames. It is safe for concurrent use.
type queue struct {
	mu       sync.Mutex
	frames   [][]byte
	bytes    int
	maxCount int
	maxBytes int
	ready    chan struct{}
}

func newQueue(maxCount, maxBytes int) *queue {
	return &queue{maxCount: maxCount, maxBytes: maxBytes, ready: make(chan struct{}, 1)}
}

// push appends a frame and returns the number of older frames it dropped.
func (q *queue) push(wire []byte) (dropped int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.frames = append(q.frames, wire)
	q.bytes += len(wire)
	for len(q.frames) > 1 && (len(q.frames) > q.maxCount || q.bytes > q.maxBytes) {
		q.removeFirst()
		dropped++
	}
	q.signal()
	return dropped
}

// pushFront puts back a frame that could not be sent; it returns false if the
// queue is full.
func (q *queue) pushFront(wire []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) >= q.maxCount || q.bytes+len(wire) > q.maxBytes {
		return false
	}
	q.frames = append([][]byte{wire}, q.frames...)
	q.bytes += len(wire)
	q.signal()
	return true
}

// pop removes the oldest frame; ok is false if the queue is empty.
func (q *queue) pop() (wire []byte, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) == 0 {
		return nil, false
	}
	wire = q.frames[0]
	q.removeFirst()
	return wire, true
}

// empty reports whether nothing is queued.
func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.frames) == 0
}

func (q *queue) removeFirst() {
	q.bytes -= len(q.frames[0])
	q.frames[0] = nil
	q.frames = q.frames[1:]
}

// signal wakes the goroutine that waits on ready.
func (q *queue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
