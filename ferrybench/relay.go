package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"cactusferry.dev/ferrybench/ferryrelay"
)

const relayHelp = `Starts a platform, two engines and one ferryd and measures that ferryd: tokens
relayed per second of processor time, the time to the first token through it and
directly from the engines in the same run, and its memory when idle and per
1,000 open streams.

Example:

    ferrybench relay --programs bin`

type relayCommand struct {
	Programs string `long:"programs" default:"bin" description:"directory of ferryd, ferryctl and ferrystand"`
	Tokens   int    `long:"tokens" default:"500" description:"number of tokens per stream"`
	Rounds   int    `long:"rounds" default:"20" description:"number of streams of each of 64 callers"`
	Open     int    `long:"open" default:"1000" description:"number of streams held open to measure memory"`
}

func init() {
	subcommands = append(subcommands, func(p *flags.Parser) error {
		_, err := p.AddCommand("relay", "measure the cost of relaying streams through one ferryd", relayHelp, &relayCommand{})
		return err
	})
}

// Execute runs the measurements and prints the results.
func (c *relayCommand) Execute([]string) error {
	r, err := ferryrelay.Measure(context.Background(), ferryrelay.Config{Programs: c.Programs, Tokens: c.Tokens, Rounds: c.Rounds, Open: c.Open})
	if err != nil {
		return err
	}
	fmt.Printf("start to ready                %s\n", r.Ready.Round(time.Millisecond))
	fmt.Printf("memory idle                   %.1f MB\n", float64(r.IdleBytes)/1e6)
	fmt.Printf("memory per 1,000 open streams %.1f MB (%d open)\n", float64(r.BytesPer1000)/1e6, r.Open)
	fmt.Printf("relay                         %d tokens, %s of processor time: %.0f tokens/s on one core (in %s)\n", r.Tokens, r.CPU, r.TokensPerCore, r.Elapsed.Round(time.Millisecond))
	fmt.Printf("first token through ferryd    p50 %s, p99 %s\n", r.FirstP50, r.FirstP99)
	fmt.Printf("first token directly          p50 %s, p99 %s\n", r.DirectP50, r.DirectP99)
	return nil
}
