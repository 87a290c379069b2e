package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a new connection that closes one whose request is executed, and against
// connections without requests that keep others out.
func TestWhichConnectionGivesWay(t *testing.T) {
	table, now := newTable(3), epoch
	conns := make([]*Conn, 6)
	for i := range conns {
		conns[i] = &Conn{}
	}
	// replace adds a connection in place of the victim.
	replace := func(victim, c *Conn) {
		t.Helper()
		now = now.Add(stallTime)
		require.False(t, table.add(c, now))
		v, _ := table.victim(now)
		require.Same(t, victim, v)
		require.False(t, table.add(c, now), "the server has not closed the victim")
		require.True(t, table.close(v, false))
		require.True(t, table.add(c, now))
	}
	for _, c := range conns[:3] {
		require.True(t, table.add(c, now))
	}
	table.begin(conns[0])
	table.begin(conns[1])
	now = now.Add(time.Millisecond)
	table.end(conns[1], now) // idle for less time than conns[2]
	replace(conns[2], conns[3])
	replace(conns[1], conns[4])
	table.begin(conns[3])
	table.begin(conns[4])
	now = now.Add(time.Hour)
	require.False(t, table.add(conns[5], now))
	v, retry := table.victim(now)
	require.Nil(t, v, "the requests of all connections are executed")
	require.Zero(t, retry)
	table.begin(conns[2]) // was closed before its request was executed
	table.end(conns[2], now)
	table.close(conns[4], false)
	table.end(conns[4], now)
	require.True(t, table.add(conns[5], now))
	require.Len(t, table.open, 3)
	require.Equal(t, 1, table.waiting.Len())
}

// Guards against a crowd of new connections that closes those on which a request arrives, and
// against requests that arrive too slowly to end and keep others out.
func TestConnectionWithNewBytesStays(t *testing.T) {
	for name, tc := range map[string]struct {
		first, second int // bytes that arrive on two connections in each interval
		after         time.Duration
		want          int // connection that gives way; 2 for none
	}{
		"nothing arrives":              {0, 0, headTime, 0},
		"too early":                    {0, 0, headTime - time.Millisecond, 2},
		"bytes arrive on one":          {1000, 0, stallTime, 1},
		"bytes arrive on both":         {1000, 1, stallTime, 2},
		"bytes arrive slowly for long": {1000, 1, minStay, 1},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := newTable(2), epoch
			conns := []*Conn{{}, {}, nil}
			for _, c := range conns[:2] {
				require.True(t, table.add(c, now))
			}
			const interval = 10 * time.Millisecond
			for now.Add(interval).Before(epoch.Add(tc.after)) {
				now = now.Add(interval)
				for i, n := range []int{tc.first, tc.second} {
					if n > 0 {
						table.receive(conns[i], n, now)
					}
				}
			}
			v, retry := table.victim(epoch.Add(tc.after))
			require.True(t, conns[tc.want] == v)
			require.True(t, retry.After(epoch.Add(tc.after)), "there is another chance later")
		})
	}
}

// Guards against a connection whose answer the client may not have read, and that is ended
// like one on which a request arrives.
func TestAnsweredConnectionIsIdle(t *testing.T) {
	for name, tc := range map[string]struct {
		use  func(*table, *Conn)
		want bool
	}{
		"new":                 {func(*table, *Conn) {}, false},
		"executed":            {func(tb *table, c *Conn) { tb.begin(c); tb.end(c, epoch) }, true},
		"refused":             {func(tb *table, c *Conn) { tb.refuse(c, epoch) }, true},
		"next request begins": {func(tb *table, c *Conn) { tb.refuse(c, epoch); tb.receive(c, 1, epoch) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			table, c := newTable(1), &Conn{}
			require.True(t, table.add(c, epoch))
			tc.use(table, c)
			require.Equal(t, tc.want, c.idle)
			v, _ := table.victim(epoch.Add(minIdle))
			require.Equal(t, tc.want, v == c)
			if v == nil {
				v, _ = table.victim(epoch.Add(headTime))
			}
			require.Same(t, c, v)
		})
	}
}

// Guards against work under the lock of a listener that grows with its connections.
func TestVictimComparesFewConnections(t *testing.T) {
	table, now := newTable(1000), epoch
	conns := make([]*Conn, table.limit)
	for i := range conns {
		conns[i] = &Conn{}
		require.True(t, table.add(conns[i], now))
	}
	now = now.Add(minStay)
	for i, c := range conns {
		table.receive(c, len(conns)-i, now) // the last one has the lowest rate
	}
	v, _ := table.victim(now)
	require.Same(t, conns[maxCandidates-1], v)
}

// Guards against limits that need more memory or descriptors than the machine has, and
// that do not let the leader of 1,100 agents on the smallest machine serve them and its
// clients.
func TestLimitsFor(t *testing.T) {
	for _, m := range []struct {
		memoryMB    int64
		descriptors int
	}{{96, 512}, {144, 3075}, {152, 4096}, {184, 4100}, {536, 10_250}, {2048, 8192}, {0, 0}, {64, 256}} {
		l := LimitsFor(m.memoryMB<<20, m.descriptors)
		memory, descriptors := m.memoryMB<<20, m.descriptors
		if memory == 0 {
			memory, descriptors = defaultMemory, defaultDescriptors
		}
		inUse := int64(l.Connections+l.RPCConnections)*connectionBytes + l.BodyBytes + l.MessageBytes
		require.LessOrEqual(t, inUse, memory/2, "%v", m)
		if descriptors >= 512 { // smaller ones get the least limits
			require.LessOrEqual(t, l.Connections+l.RPCConnections+2*l.Requests+2*l.SmallConnections+fileDescriptors, descriptors, "%v", m)
		}
	}
	smallest := LimitsFor(144<<20, 3075)
	require.GreaterOrEqual(t, smallest.RPCConnections, 1112)
	require.GreaterOrEqual(t, smallest.Connections, 500)
}

// Guards against limits of small machines under which a single body or message within the
// limits of the system is never accepted, or no connection is.
func TestLeastLimits(t *testing.T) {
	for _, memoryMB := range []int64{1, 32, 64, 144} {
		for _, descriptors := range []int{1, 256, 3075} {
			l := LimitsFor(memoryMB<<20, descriptors)
			require.GreaterOrEqual(t, l.BodyBytes, int64(262_144), "%d MB", memoryMB)
			require.GreaterOrEqual(t, l.RPCConnections, minConnections, "%d MB, %d descriptors", memoryMB, descriptors)
			require.GreaterOrEqual(t, l.Connections, minConnections, "%d MB, %d descriptors", memoryMB, descriptors)
			const size, frame = 4 << 20, 4 << 10
			b := newBudget(l.MessageBytes)
			_, ok := b.draw(newShare(func() {}), size+streamBytes+size/frame*frameBytes, time.Now())
			require.True(t, ok, "message of %d bytes, %d MB", size, memoryMB)
		}
	}
}

// Guards against a body that is cut although it arrives within the time that clients wait.
func TestPauseWithinWaitOfClients(t *testing.T) {
	l := LimitsFor(144<<20, 3075)
	require.GreaterOrEqual(t, l.BodyPause, 3*time.Second)
	require.GreaterOrEqual(t, l.BodyTime, 3*time.Second)
}
