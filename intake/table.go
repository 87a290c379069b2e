package intake

import "container/list"

// table holds the open connections of a listener and which of them may be closed for a
// new one. It is not safe for concurrent use.
type table struct {
	limit   int
	open    map[*Conn]struct{}
	waiting *list.List // connections without a request that is executed, the longest first
}

func newTable(limit int) *table {
	return &table{limit: limit, open: make(map[*Conn]struct{}), waiting: list.New()}
}

// add adds a connection. At the limit it returns the connection to close for it, and
// false if there is none.
func (t *table) add(c *Conn) (victim *Conn, ok bool) {
	if len(t.open) >= t.limit {
		front := t.waiting.Front()
		if front == nil {
			return nil, false
		}
		victim = front.Value.(*Conn)
		t.remove(victim)
	}
	t.open[c] = struct{}{}
	c.position = t.waiting.PushBack(c)
	return victim, true
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
	return open
}

// end records that a request is not executed any more.
func (t *table) end(c *Conn) {
	c.executing--
	if _, open := t.open[c]; open && c.executing == 0 {
		c.position = t.waiting.PushBack(c)
	}
}

// remove removes a connection. It may have been removed before.
func (t *table) remove(c *Conn) {
	delete(t.open, c)
	if c.position != nil {
		t.waiting.Remove(c.position)
		c.position = nil
	}
}
