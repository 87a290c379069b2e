// Command standin runs a stand-in for the store, a runtime or an upstream in its
// own process, for tests and demonstrations with several processes. It prints its
// address as one line of JSON and exits on SIGINT, SIGTERM or, with --with-stdin,
// when its standard input is closed.
package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rs/zerolog"
)

type arguments struct {
	Kind         string  `long:"kind" choice:"store" choice:"runtime" choice:"upstream" required:"true" description:"component that the stand-in replaces"`
	Listen       string  `long:"listen" default:"127.0.0.1:0" description:"loopback address; port 0 selects a free port"`
	Name         string  `long:"name" default:"standin" description:"name of the worker or upstream in the journal"`
	Accelerators int     `long:"accelerators" default:"8" description:"accelerators of a runtime"`
	Processors   int     `long:"processors" default:"64" description:"processors of a runtime"`
	MemoryMB     int     `long:"memory-mb" default:"131072" description:"memory of a runtime, in MB"`
	Slots        int     `long:"slots" default:"8" description:"calls that an upstream runs at once"`
	Conns        int     `long:"conns" default:"64" description:"connections that an upstream accepts"`
	Writes       float64 `long:"writes" default:"400" description:"writes of a store per second"`
	Reads        float64 `long:"reads" default:"2000" description:"reads of a store per second"`
	WithStdin    bool    `long:"with-stdin" description:"exit when the standard input is closed"`
}

func main() { os.Exit(int(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))) }

func run(args []string, stdin io.Reader, stdout, stderr io.Writer) rosemarysill.Code {
	log := zerolog.New(stderr).With().Timestamp().Logger()
	var a arguments
	if _, err := flags.NewParser(&a, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(args); err != nil {
		event.StandinRefused.Log(log).Err(err).Send()
		return rosemarysill.InvalidArguments
	}
	address, err := netip.ParseAddrPort(a.Listen)
	if err != nil {
		event.StandinRefused.Log(log).Err(err).Send()
		return rosemarysill.InvalidArguments
	}
	srv, err := standin.Serve(address, a.handler())
	if err != nil {
		event.StandinRefused.Log(log).Err(err).Send()
		return rosemarysill.InternalError
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(stop)
	if a.WithStdin {
		go func() {
			_, _ = io.Copy(io.Discard, stdin)
			stop <- os.Interrupt
		}()
	}
	event.StandinStarted.Log(log).Str("Kind", a.Kind).Stringer("Address", srv.Address()).Send()
	_ = json.NewEncoder(stdout).Encode(map[string]netip.AddrPort{"Address": srv.Address()})
	<-stop
	srv.Stop()
	<-srv.Done()
	event.StandinStopped.Log(log).Send()
	return rosemarysill.Done
}

func (a arguments) handler() http.Handler {
	switch a.Kind {
	case "store":
		return standin.NewStore(standin.StoreOptions{WritesPerS: a.Writes, ReadsPerS: a.Reads})
	case "runtime":
		return standin.NewRuntime(standin.RuntimeOptions{Name: a.Name, Accelerators: a.Accelerators, Processors: a.Processors, MemoryMB: a.MemoryMB})
	default:
		return standin.NewUpstream(standin.UpstreamOptions{Name: a.Name, Slots: a.Slots, Conns: a.Conns})
	}
}
