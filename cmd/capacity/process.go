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

// ticksPerSecond is the number of clock ticks per second in /proc/PID/stat on Linux.
const ticksPerSecond = 100

// process is a running rosemarysill process.
type process struct {
	cmd *exec.Cmd
}

func startProcess(path string, args ...string) (*process, error) {
	p := &process{cmd: exec.Command(path, args...)}
	if log := os.Getenv("CAPACITY_LOG"); log != "" {
		f, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		p.cmd.Stderr = f
	}
	return p, errors.Wrap(p.cmd.Start(), "start")
}

func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
}

// cpuTime returns the processor time used by the process.
func (p *process) cpuTime() (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	// utime and stime are the 12th and 13th fields after the process name, which is
	// in parentheses and can contain spaces.
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var ticks int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "read processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// residentBytes returns the resident memory of the process in bytes.
func (p *process) residentBytes() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrap(err, "memory")
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "memory")
}

// startEntry writes the settings of an entry and starts it.
func startEntry(path, dir, name string, httpAddress, grpcAddress, storeAddress netip.AddrPort, peers []netip.AddrPort) (*process, error) {
	quoted := make([]string, len(peers))
	for i, p := range peers {
		quoted[i] = strconv.Quote(p.String())
	}
	settings := fmt.Sprintf("Name: %s\nDomain: Tunis\nListen: {HTTP: %q, GRPC: %q}\nStore: %q\nPeers: [%s]\n",
		name, httpAddress, grpcAddress, storeAddress, strings.Join(quoted, ", "))
	file := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return startProcess(path, "entry", file)
}

// startAgent writes the settings of a worker's agent and starts it.
func startAgent(path, dir, name string, listenAddress, runtimeAddress netip.AddrPort, entries []netip.AddrPort) (*process, error) {
	quoted := make([]string, len(entries))
	for i, e := range entries {
		quoted[i] = strconv.Quote(e.String())
	}
	settings := fmt.Sprintf("Name: %s\nKind: Worker\nDomain: Tunis\nRack: measured\nListen: %q\nEntries: [%s]\nBackEnd: %q\nCapacity: {Accelerators: 8, Processors: 64, MemoryMB: 131072}\n",
		name, listenAddress, strings.Join(quoted, ", "), runtimeAddress)
	file := filepath.Join(dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	return startProcess(path, "agent", file)
}
