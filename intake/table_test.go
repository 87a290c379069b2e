package intake

import (
	"testing"

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
