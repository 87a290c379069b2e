package intake

import (
	"container/list"
	"time"
)

const (
	// minStay is the time for which a connection on which bytes arrive steadily is not closed
	// for another. After it, one with less than minRate bytes per second is: a body of 256 KiB
	// would not arrive within the 3 s that clients wait.
	minStay = time.Second
	minRate = 64 << 10
	// minIdle is the time for which a connection is not closed for another after an answer, so
	// that a client that has sent its next request at once gets an answer to it.
	minIdle = 10 * time.Millisecond
	// closeTime is the time within which a server usually ends a connection that was closed
	// for another. If it takes longer, one more connection is closed.
	closeTime = 50 * time.Millisecond
	// replaceInterval is the least time between two connections that are closed for others. It
	// bounds the processor time that clients take by connecting again.
	replaceInterval = time.Millisecond
)

// table holds the connections of a listener which the server has not closed, and which of
// them may be closed for a new one. It is not safe for concurrent use.
type table struct {
	limit   int
	open    map[*Conn]struct{}
	waiting *list.List // connections that may be closed; those without new bytes, or behind their rate, for longest first
	closing int        // connections that were closed for others, and that the server still holds
	closeBy time.Time  // until when the latest one of them should have ended
	next    time.Time  // of the next connection that is closed for another
}

func newTable(limit int) *table {
	return &table{limit: limit, open: make(map[*Conn]struct{}), waiting: list.New()}
}

// add adds a connection. It returns false at the limit.
func (t *table) add(c *Conn, now time.Time) bool {
	if len(t.open) >= t.limit {
		return false
	}
	t.open[c] = struct{}{}
	t.wait(c, now)
	return true
}

// wait puts a connection that has no unfinished request, or has just begun one, at the end of
// the list.
func (t *table) wait(c *Conn, now time.Time) {
	c.arrival.body = false
	c.arrival.begin(now)
	c.position = t.waiting.PushBack(c)
}

// receive records that n bytes have arrived on a connection.
func (t *table) receive(c *Conn, n int, now time.Time) {
	if c.position != nil {
		c.idle = false
		if c.arrival.add(int64(n), now) {
			t.waiting.MoveToBack(c.position)
		}
	}
}

// victim returns the connection to close for a new one, which has its place when the server
// has ended that connection. Otherwise it returns the time at which to ask again, or zero if
// the requests of all connections are executed.
//
// Only those without new bytes for longest are compared.
func (t *table) victim(now time.Time) (v *Conn, retry time.Time) {
	if t.closing > 0 && now.Before(t.closeBy) {
		return nil, t.closeBy
	}
	if now.Before(t.next) {
		return nil, t.next
	}
	for e, n := t.waiting.Front(), 0; e != nil && n < maxCandidates; e, n = e.Next(), n+1 {
		c := e.Value.(*Conn)
		if free := c.replaceableAt(); free.After(now) {
			if retry.IsZero() || free.Before(retry) {
				retry = free
			}
		} else if v == nil || c.worse(v, now) {
			v = c
		}
	}
	switch {
	case v != nil:
		t.waiting.Remove(v.position)
		v.position, v.closing = nil, true
		t.closing++
		t.closeBy, t.next = now.Add(closeTime), now.Add(replaceInterval)
		return v, t.closeBy
	case retry.IsZero() && t.closing > 0:
		return nil, now.Add(closeTime)
	}
	return nil, retry
}

// replaceableAt returns the time from which a connection may be closed for another if no bytes
// arrive.
func (c *Conn) replaceableAt() time.Time {
	if c.idle {
		return c.arrival.last.Add(minIdle)
	}
	slow := max(minStay, time.Duration(float64(c.arrival.received)/minRate*float64(time.Second)))
	return earlier(c.arrival.stopsAt(), c.arrival.began.Add(slow))
}

// worse reports whether c gives way before o. If bytes arrive on both, it is the one with the
// lower rate.
func (c *Conn) worse(o *Conn, now time.Time) bool {
	if order := c.arrival.compare(&o.arrival, now); order != 0 {
		return order < 0
	}
	return c.arrival.rate(now) < o.arrival.rate(now)
}

// begin records that a request of the connection is executed from now on. It returns
// false if the connection was closed. After either result, end must be called.
func (t *table) begin(c *Conn) bool {
	c.executing++
	if c.position != nil {
		t.waiting.Remove(c.position)
		c.position = nil
	}
	_, open := t.open[c]
	return open && !c.closing
}

// end records that a request is not executed any more. It returns true if that was the last
// request of a connection that the server has closed.
func (t *table) end(c *Conn, now time.Time) (gone bool) {
	c.executing--
	_, open := t.open[c]
	switch {
	case !open || c.executing > 0:
	case c.closed:
		t.remove(c)
		return true
	case !c.closing:
		t.wait(c, now)
		c.idle = true
	}
	return false
}

// refuse records that a request was answered before its body had arrived.
func (t *table) refuse(c *Conn, now time.Time) {
	if c.position != nil {
		c.idle, c.arrival.last = true, now
	}
}

// close records that the server has closed a connection. It returns false if calls on the
// connection are still executed, which happens with gRPC only; the last one of them removes it.
func (t *table) close(c *Conn, rpc bool) (gone bool) {
	c.closed = true
	if rpc && c.executing > 0 {
		return false
	}
	t.remove(c)
	return true
}

// remove removes a connection of which the server holds no memory.
func (t *table) remove(c *Conn) {
	if c.closing {
		t.closing--
		t.closeBy = time.Time{}
	}
	delete(t.open, c)
	if c.position != nil {
		t.waiting.Remove(c.position)
		c.position = nil
	}
}
