package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferrystand/ferrystandengine"
)

const (
	engineRegisterTimeout = 5 * time.Second
	engineDrainPoll       = 50 * time.Millisecond
	engineExitDied        = 3
	journalMode           = 0o600
)

const engineHelp = `Runs one stand-in model engine with a range of layers. It registers itself in the platform's instance list, prints "ready ADDRESS" once it listens, and on SIGTERM marks itself as leaving, finishes its streams and exits with status 0.

Example:
  ferrystand engine --name=ruse-1 --domain=ruse-a --service=herd-llm --layers=0:16 --platform=http://127.0.0.1:9000`

type engineCommand struct {
	Name            string  `long:"name" required:"yes" description:"name of the engine, as in the service document"`
	Listen          string  `long:"listen" default:"127.0.0.1:0" description:"address and port to listen on"`
	Domain          string  `long:"domain" required:"yes" description:"failure domain"`
	Service         string  `long:"service" required:"yes" description:"service of the engine"`
	Layers          string  `long:"layers" required:"yes" description:"layers of the engine, FROM:TO with TO excluded"`
	Accelerator     string  `long:"accelerator" description:"kind of accelerator"`
	TokensPerSecond float64 `long:"tokens-per-second" default:"400" description:"rate of tokens through all layers of the engine"`
	Slots           int     `long:"slots" default:"16" description:"number of concurrent streams that share the rate"`
	Journal         string  `long:"journal" description:"file to which one line per step is appended; it is kept after the engine exits"`
	Platform        string  `long:"platform" description:"URL of the platform; if empty, the engine does not register"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("engine", "run a stand-in model engine", engineHelp, &engineCommand{})
		return err
	})
}

// Execute runs the engine until SIGTERM or SIGINT.
func (c *engineCommand) Execute([]string) error {
	layers, err := parseLayers(c.Layers)
	if err != nil {
		return fmt.Errorf("--layers: %w", err)
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	journal, err := c.journal()
	if err != nil {
		return err
	}
	e := ferrystandengine.New(ferrystandengine.Config{
		Name: ferryid.UpstreamName(c.Name), Service: ferryid.ServiceName(c.Service), Layers: layers,
		Accelerator: c.Accelerator, TokensPerSecond: ferryid.TokensPerSecond(c.TokensPerSecond), Slots: c.Slots, Journal: journal,
		OnDie: func() { os.Exit(engineExitDied) },
	})
	defer e.Close()
	srv := &http.Server{Handler: e, ReadHeaderTimeout: engineRegisterTimeout}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	address := ln.Addr().String()
	if err := c.register(e, layers, address, ferryplatform.StateLive); err != nil {
		return err
	}
	fmt.Println("ready", address)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	e.Leave()
	if err := c.register(e, layers, address, ferryplatform.StateLeaving); err != nil {
		fmt.Fprintln(os.Stderr, "ferrystand engine:", err)
	}
	// The engine refuses new work as leaving until its last stream has ended.
	for e.Running() > 0 {
		time.Sleep(engineDrainPoll)
	}
	return srv.Shutdown(context.Background())
}

// journal opens the journal file, if one is configured.
func (c *engineCommand) journal() (io.Writer, error) {
	if c.Journal == "" {
		return nil, nil
	}
	return os.OpenFile(c.Journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, journalMode)
}

// register writes the engine's row of the instance list.
func (c *engineCommand) register(e *ferrystandengine.Engine, layers ferryid.LayerRange, address string, state ferryplatform.InstanceState) error {
	if c.Platform == "" {
		return nil
	}
	row := ferryplatform.Instance{
		Name: c.Name, Role: ferryplatform.RoleEngine, Service: ferryid.ServiceName(c.Service), Address: address,
		FailureDomain: ferryid.DomainName(c.Domain), Incarnation: e.Incarnation(), State: state,
		Accelerator: c.Accelerator, Layers: layers,
	}
	return c.put(row)
}

// put writes one row of the instance list.
func (c *engineCommand) put(row ferryplatform.Instance) error {
	b, err := json.Marshal(row)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), engineRegisterTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.Platform+"/admin/instances/"+url.PathEscape(row.Name), bytes.NewReader(b))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("register %s: %w", row.Name, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("register %s: expected a 2xx answer of the platform, got %s", row.Name, resp.Status)
	}
	return nil
}

func parseLayers(s string) (ferryid.LayerRange, error) {
	from, to, ok := strings.Cut(s, ":")
	a, err1 := strconv.ParseUint(from, 10, 16)
	b, err2 := strconv.ParseUint(to, 10, 16)
	if !ok || err1 != nil || err2 != nil || a >= b {
		return ferryid.LayerRange{}, fmt.Errorf("expected FROM:TO with FROM less than TO, got %q", s)
	}
	return ferryid.LayerRange{From: ferryid.Layer(a), To: ferryid.Layer(b)}, nil
}
