package intake

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
)

// Guards against a client on a slow link, with pauses or with the loss of a packet, that
// counts as stopped, and against one that has stopped, or goes on byte by byte, that does not.
func TestWhatHasStopped(t *testing.T) {
	const ms = time.Millisecond
	for name, tc := range map[string]struct {
		first int64 // bytes at the beginning
		piece int64 // bytes in each piece after that
		gap   time.Duration
		count int
		pause time.Duration // after the last piece
		want  bool
	}{
		"slow link":                        {13_000, 13_000, 50 * ms, 20, 50 * ms, false},
		"slow link after a full buffer":    {39_000, 13_000, 50 * ms, 20, 50 * ms, false},
		"slow link, loss of a packet":      {13_000, 13_000, 50 * ms, 10, 120 * ms, false},
		"fast link":                        {16_000, 16_000, 6 * ms, 15, 20 * ms, false},
		"large body that stops":            {262_143, 0, 0, 0, 30 * ms, true},
		"half a body, then byte by byte":   {131_072, 1, 50 * ms, 10, 0, true},
		"small piece of a body that stops": {1_000, 0, 0, 0, stallTime, true},
		"piece of a body that stops":       {16_000, 0, 0, 0, lossTime, true},
		"nothing":                          {0, 0, 0, 0, stallTime, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := epoch
			a := arrival{body: true}
			a.begin(now)
			if tc.first > 0 {
				a.add(tc.first, now)
			}
			for range tc.count {
				now = now.Add(tc.gap)
				if a.stopped(now) {
					require.True(t, tc.want, "%v after the beginning", now.Sub(epoch))
				}
				a.add(tc.piece, now)
			}
			require.Equal(t, tc.want, a.stopped(now.Add(tc.pause)))
		})
	}
}

// Guards against a body on a slow link that is dropped for others that arrive faster and end
// no earlier, and against bodies of unknown length, or too slow ones, that keep out others.
func TestBodyOnSlowLinkIsKept(t *testing.T) {
	const body = 262_144
	deadline := epoch.Add(3 * time.Second)
	for name, tc := range map[string]struct {
		length, received int64
		whole            bool
		wantSlow         bool // the slow body gives way
	}{
		"known length":    {body, body / 2, false, false},
		"unknown length":  {0, body / 2, false, false},
		"has arrived":     {body, body, true, false},
		"will be late":    {body, 2_000, false, false},
		"faster, earlier": {body, body / 2, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			slow, other := newShare(func() {}), newShare(func() {})
			slow.length, slow.deadline = body, deadline
			slow.begin(epoch)
			other.length, other.deadline, other.whole = tc.length, deadline, tc.whole
			now := epoch
			for n := range 8 {
				now = epoch.Add(time.Duration(n) * 50 * time.Millisecond)
				slow.add(body/20, now)
			}
			other.begin(now.Add(-20 * time.Millisecond))
			if tc.wantSlow {
				other.began = epoch.Add(-time.Millisecond)
			}
			other.add(tc.received, now)
			require.Equal(t, tc.wantSlow, slow.worse(other, now))
			require.Equal(t, !tc.wantSlow, other.worse(slow, now))
		})
	}
}

// Guards against requests that wait or are executed and whose bodies leave no memory for those
// that arrive: a request that waits can be refused, and executed ones do not get all of it.
func TestExecutedBodiesLeaveMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := testLimits
		limits.SlotWait = time.Second
		g := NewGate(limits, zerolog.Nop())
		end := make(chan struct{})
		codes := make(chan rosemarysill.Code, 3)
		h := g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := Read(w, r, 90, time.Now().Add(time.Hour))
			codes <- rosemarysill.CodeOf(err)
			<-end
		}), g.NewSlots("test", 3), Refuse)
		send := func(n int) {
			go h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", n))))
			synctest.Wait()
		}
		body, client := io.Pipe()
		slow := httptest.NewRequest(http.MethodPost, "/", body)
		slow.ContentLength = 40
		go h.ServeHTTP(httptest.NewRecorder(), slow)
		_, err := client.Write(make([]byte, 10))
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
		send(50)
		require.Equal(t, rosemarysill.Done, <-codes)
		send(30) // 75 of 100 bytes may be those of executed requests
		require.Empty(t, codes)
		_, err = client.Write(make([]byte, 30))
		require.NoError(t, err)
		require.Equal(t, rosemarysill.Overloaded, <-codes, "of the request that waits")
		require.EqualValues(t, 1, g.Counts().Dropped)
		close(end)
		require.NoError(t, client.Close())
		require.Equal(t, rosemarysill.Done, <-codes)
		synctest.Wait()
		require.Zero(t, g.Counts().Held)
	})
}

// Guards against small requests that need memory of the budget, which a crowd has used up.
func TestSmallBodiesAreNotCounted(t *testing.T) {
	limits := testLimits
	limits.UncountedBytes = 8
	g := NewGate(limits, zerolog.Nop())
	for size, held := range map[int]int64{8: 0, 10: 2} {
		h := g.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, err := Read(w, r, 90, time.Now().Add(time.Hour))
			require.NoError(t, err)
			require.Len(t, data, size)
			require.Equal(t, held, g.Counts().Held)
		}), nil, Refuse)
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size))))
	}
}
