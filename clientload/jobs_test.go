package clientload_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/platform"
)

const (
	// submitters is the number of connections on which legal jobs are submitted, and
	// jobsEach the number of jobs on each of them.
	submitters = 20
	jobsEach   = 40
)

// legalJobs are bodies of legal jobs that need much memory on record.
var legalJobs = map[string]string{
	"many strings": `{"task-spec":"x","steps":[` + strings.Repeat(`{"count":1,"cpu":1000,"mem-mb":10,"image":"`+strings.Repeat("x", 3_900)+`"},`, 62) +
		`{"count":1,"cpu":1000,"mem-mb":10}]}`,
	"many tasks": `{"task-spec":"x","steps":[{"count":4096,"cpu":1000,"mem-mb":10}]}`,
}

// Guards against legal jobs, each another one, whose records take the memory of the entries:
// of the one that accepts them, of the one that leads, and of others. Jobs are refused then,
// and another account still gets its own accepted.
func TestLegalJobsOnRecord(t *testing.T) {
	for name, body := range legalJobs {
		t.Run(name, func(t *testing.T) {
			store := newStore(t)
			var nodes [2]platform.Node
			for i := range nodes {
				var p *process
				p, nodes[i] = startPlatformEntryAs(t, store, platform.Node{Name: fmt.Sprintf("node%d", i)})
				defer p.check(t)
			}
			var accepted atomic.Int64
			var clients sync.WaitGroup
			for i := range submitters {
				c, err := net.DialTimeout("tcp4", nodes[i%2].Callers.String(), answerTimeout)
				require.NoError(t, err)
				defer func() { _ = c.Close() }() // may be closed by the server
				clients.Go(func() {
					answers := bufio.NewReader(c)
					for n := range jobsEach {
						if c.SetDeadline(time.Now().Add(answerTimeout)) != nil ||
							!writeAll(c, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", platformRequest.post(i*jobsEach+n), len(body)), []byte(body)) {
							return
						}
						resp, err := http.ReadResponse(answers, nil)
						if err != nil {
							return
						}
						_ = resp.Body.Close() // the status is all that is needed
						if resp.StatusCode == http.StatusOK {
							accepted.Add(1)
						}
						if resp.Close {
							return
						}
					}
				})
			}
			clients.Wait()
			time.Sleep(settleTime)
			t.Logf("%d of %d jobs have been accepted", accepted.Load(), submitters*jobsEach)
			require.NotZero(t, accepted.Load())
			for _, n := range nodes {
				requireAnswer(t, func() error { return submitAs(n.Callers, otherKey, "00000000fffffffe") })
			}
		})
	}
}
