// Command example uses the coordination packages without ferryd: it joins the overlay, competes for a lease
// and watches documents.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"cactusferry.dev/ferry/ferrydocument"
	"cactusferry.dev/ferry/ferryevent"
	"cactusferry.dev/ferry/ferryid"
	"cactusferry.dev/ferry/ferrylease"
	"cactusferry.dev/ferry/ferrypeer"
	"cactusferry.dev/ferry/ferryplatform"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: example NAME PEER-ADDRESS PLATFORM-URL")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, ferryid.EntryName(os.Args[1]), os.Args[2], os.Args[3]); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "example:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, name ferryid.EntryName, address, platform string) error {
	clock := clockwork.NewRealClock()
	self := ferryid.NewIncarnation()
	events := ferryevent.NewLog(clock, string(name), 1000)
	store := ferryplatform.New(ferryplatform.ClientConfig{URL: platform, Clock: clock})

	// The overlay finds the other members.
	node := ferrypeer.New(ferrypeer.Config{
		Self:   ferrypeer.Member{Name: name, Incarnation: self, FailureDomain: "here", PeerAddress: address},
		Lister: store, Clock: clock, Secret: []byte("shared by all members"), Log: zerolog.Nop(), Events: events,
	})

	// At most one member holds the lease at a time; the fencing number increases with each holder.
	lease := ferrylease.New(ferrylease.Config{Name: "example", Self: self, Store: store, Clock: clock})
	lease.Want(true)

	// Accepted documents come into force here and never go back to an earlier generation.
	documents := ferrydocument.NewHolder(clock, events)
	watcher := ferrydocument.NewWatcher(ferrydocument.WatcherConfig{Store: store, Holder: documents, Clock: clock, Seed: 1})
	watcher.SetWatching(true)

	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(ctx, address, node.Handler()) })
	g.Go(func() error { return node.Run(ctx) })
	g.Go(func() error { return lease.Run(ctx) })
	g.Go(func() error { return watcher.Run(ctx) })
	g.Go(func() error { return follow(ctx, documents) })
	g.Go(func() error { return report(ctx, clock, node, lease) })
	return g.Wait()
}

// follow prints each document that comes into force.
func follow(ctx context.Context, documents *ferrydocument.Holder) error {
	sub := documents.Subscribe()
	defer sub.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.Ready():
			for _, d := range sub.Take() {
				fmt.Printf("%s is in force at generation %d\n", d.Document.Service, d.Accepted.Generation)
			}
		}
	}
}

// report prints the number of live members every second, and acts only while the lease is held.
func report(ctx context.Context, clock clockwork.Clock, node *ferrypeer.Node, lease *ferrylease.Lease) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-clock.After(time.Second):
		}
		fmt.Printf("%d members live\n", len(node.Members().Live()))
		if fence, until, err := lease.Check(); err == nil {
			fmt.Printf("acting with fencing number %d until %s\n", fence, until.Format(time.TimeOnly))
		}
	}
}
