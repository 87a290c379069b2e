package main

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ticksPerSecond is the unit of processor time in /proc/PID/stat on Linux.
const ticksPerSecond = 100

// program is a running rosemarysill process.
type program struct {
	cmd *exec.Cmd
}

func startProgram(path string, args ...string) (*program, error) {
	p := &program{cmd: exec.Command(path, args...)}
	if log := os.Getenv("CAPACITY_LOG"); log != "" {
		f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		p.cmd.Stderr = f
	}
	return p, errors.Wrap(p.cmd.Start(), "start")
}

func (p *program) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// cpu returns the processor time that the process has used.
func (p *program) cpu() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	// The fields after the parenthesised name; utime and stime are the 12th
	// and 13th of them.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var ticks int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// resident returns the resident memory of the process in bytes.
func (p *program) resident() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "memory")
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "memory")
}

// startEntry writes settings and starts an entry.
func startEntry(path, dir, name string, http, grpc, store netip.AddrPort, peers []netip.AddrPort) (*program, error) {
	quoted := make([]string, len(peers))
	for i, p := range peers {
		quoted[i] = strconv.Quote(p.String())
	}
	text := fmt.Sprintf("Name: %s\nDomain: Tunis\nListen: {HTTP: %q, GRPC: %q}\nStore: %q\nPeers: [%s]\n",
		name, http, grpc, store, strings.Join(quoted, ", "))
	file := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return startProgram(path, "entry", file)
}

// startAgent writes settings and starts a worker's agent.
func startAgent(path, dir, name string, listen, backEnd netip.AddrPort, entries []netip.AddrPort) (*program, error) {
	quoted := make([]string, len(entries))
	for i, e := range entries {
		quoted[i] = strconv.Quote(e.String())
	}
	text := fmt.Sprintf("Name: %s\nKind: Worker\nDomain: Tunis\nRack: measured\nListen: %q\nEntries: [%s]\nBackEnd: %q\nCapacity: {Accelerators: 8, Processors: 64, MemoryMB: 131072}\n",
		name, listen, strings.Join(quoted, ", "), backEnd)
	file := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return startProgram(path, "agent", file)
}
