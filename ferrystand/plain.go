package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/jonboulle/clockwork"

	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferryplatform"
	"cactusferry.dev/ferrystand/ferrystandplain"
)

const (
	registerTimeout  = 2 * time.Second
	registerAttempts = 20
	registerInterval = 250 * time.Millisecond
)

const plainHelp = `Answers any method and path with a JSON body that describes the run, and records it.

Example:
  ferrystand plain --listen 127.0.0.1:9301 --name parlour-1 --service parlour-api --domain ruse-a --platform http://127.0.0.1:9000
  curl http://127.0.0.1:9301/admin/records`

type plainCommand struct {
	listenOption
	Name     string `long:"name" value-name:"NAME" default:"plain-1" description:"name of this instance"`
	Domain   string `long:"domain" value-name:"NAME" default:"domain-a" description:"failure domain of this instance"`
	Service  string `long:"service" value-name:"NAME" description:"service of this instance"`
	Platform string `long:"platform" value-name:"URL" description:"platform stand-in to register with, such as http://127.0.0.1:9000"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("plain", "stand-in for a plain service", plainHelp, &plainCommand{})
		return err
	})
}

// Execute runs the subcommand.
func (c *plainCommand) Execute([]string) error {
	s := ferrystandplain.New(c.Name, clockwork.NewRealClock())
	err := serve(c.Listen, s, func(ctx context.Context, address string) error {
		if c.Platform == "" {
			return nil
		}
		return register(ctx, c.Platform, ferryplatform.Instance{
			Name:          c.Name,
			Role:          ferryplatform.RolePlain,
			Service:       ferryid.ServiceName(c.Service),
			Address:       address,
			FailureDomain: ferryid.DomainName(c.Domain),
			Incarnation:   ferryid.NewIncarnation(),
			State:         ferryplatform.StateLive,
		})
	})
	return err
}

// register writes an instance to the platform stand-in's list,
// with retries since the platform may still be starting.
func register(ctx context.Context, platform string, in ferryplatform.Instance) error {
	var err error
	for range registerAttempts {
		if err = registerOnce(ctx, platform, in); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(registerInterval):
		}
	}
	return fmt.Errorf("register %s: %w", in.Name, err)
}

func registerOnce(ctx context.Context, platform string, in ferryplatform.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, platform+"/admin/instances/"+url.PathEscape(in.Name), bytes.NewReader(b))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("expected a 2xx answer of the platform, got %s", res.Status)
	}
	return nil
}
