package clientload_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// slowPieces and slowPieceTime describe a link of 2 Mbit/s: a body of the largest legal
	// size takes a second.
	slowPieces    = 20
	slowPieceTime = 50 * time.Millisecond
)

// submitSlowly submits a legal job of the largest size over a slow link.
func submitSlowly(a netip.AddrPort) error {
	c, err := net.DialTimeout("tcp4", a.String(), answerTimeout)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }() // the answer has been read
	if err := c.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	const id = 1 << 40 // differs from those of the crowd
	body := platformRequest.job(id)
	if _, err := c.Write(announced(platformRequest.post(id))); err != nil {
		return err
	}
	for n := range slowPieces {
		time.Sleep(slowPieceTime)
		if _, err := c.Write(body[n*len(body)/slowPieces : (n+1)*len(body)/slowPieces]); err != nil {
			return err
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_ = resp.Body.Close() // the status is all that is needed
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// Guards against a legal body of the largest size on a slow link that never arrives whole,
// because a crowd whose bodies arrive faster takes its memory or its connection.
func TestSlowCallerBesideCrowd(t *testing.T) {
	for _, name := range []string{"body stops one byte short", "large chunks stop short", "a byte at a time", "whole bodies one after another", "whole bodies beside bodies that stop"} {
		t.Run(name, func(t *testing.T) {
			p, n := startPlatformEntry(t)
			defer p.check(t)
			require.NoError(t, submitSlowly(n.Callers), "without a crowd")
			c := reconnect(t, n.Callers, connections, func(i int, c net.Conn) { crowds[name](platformRequest, i, c) })
			requireAnswer(t, func() error { return submitSlowly(n.Callers) })
			c.stop()
			requireAnswer(t, func() error { return submitSlowly(n.Callers) })
		})
	}
}
