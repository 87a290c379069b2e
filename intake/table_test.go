package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a new connection that closes one whose request is executed, and against
// connections without requests that keep others out.
func TestWhichConnectionGivesWay(t *testing.T) {
	table := newTable(3)
	conns := make([]*Conn, 6)
	for i := range conns {
		conns[i] = &Conn{}
	}
	for _, c := range conns[:3] {
		victim, ok := table.add(c)
		require.True(t, ok)
		require.Nil(t, victim)
	}
	table.begin(conns[0])
	table.begin(conns[1])
	table.end(conns[1]) // idle for less time than conns[2]
	victim, ok := table.add(conns[3])
	require.True(t, ok)
	require.Same(t, conns[2], victim)
	victim, ok = table.add(conns[4])
	require.True(t, ok)
	require.Same(t, conns[1], victim)
	table.begin(conns[3])
	table.begin(conns[4])
	_, ok = table.add(conns[5])
	require.False(t, ok, "the requests of all connections are executed")
	table.end(conns[2]) // was closed while its request was executed
	table.remove(conns[4])
	table.end(conns[4])
	victim, ok = table.add(conns[5])
	require.True(t, ok)
	require.Nil(t, victim)
	require.Len(t, table.open, 3)
	require.Equal(t, 1, table.waiting.Len())
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
