package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"goldcrestport/standin/backend"
	"goldcrestport/standin/kvstore"
)

func storeCommand() *cobra.Command {
	return command("kvstore", "Key-value store of the users' platform", func() (http.Handler, error) { return kvstore.New(), nil })
}

// drainTime is how long a backend server keeps serving after it has announced its shutdown.
const drainTime = 3 * time.Second

// backendOptions are the flags of a backend server.
type backendOptions struct {
	backend.Config
	listen string
	store  string
}

func backendCommand() *cobra.Command {
	o := backendOptions{Config: backend.Config{Slots: 8, Time: 20 * time.Millisecond}}
	cmd := &cobra.Command{
		Use: "backend", Short: "Backend server of the users' platform; a line for each run", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd.Context()) },
	}
	f := cmd.Flags()
	f.StringVar(&o.ID, "id", "", "name of this life of the server")
	f.StringVar(&o.Service, "service", "", "its service")
	f.StringVar(&o.Version, "version", "v1", "version of its software")
	f.BoolVar(&o.Engine, "engine", false, "answer with streams")
	f.IntVar(&o.Slots, "slots", o.Slots, "requests that run at once")
	f.DurationVar(&o.Time, "time", o.Time, "time of a plain request, or between two events")
	f.StringVar(&o.listen, "listen", "127.0.0.1:0", "loopback address and port")
	f.StringVar(&o.store, "store", "", "address of the store")
	return cmd
}

// run serves until ctx is done, then announces the shutdown and serves for the drain time.
func (o backendOptions) run(ctx context.Context) error {
	lis, err := net.Listen("tcp", o.listen)
	if err != nil {
		return err
	}
	address := lis.Addr().String()
	if err := o.register(address, backend.Ready); err != nil {
		return err
	}
	serving, end := context.WithCancel(context.Background())
	defer end()
	go func() {
		<-ctx.Done()
		if err := o.register(address, backend.Draining); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		time.Sleep(drainTime)
		end()
	}()
	_ = lis.Close()
	return serve(serving, address, backend.New(o.Config, &runPrinter{}))
}

// register writes the server's entry to the store.
func (o backendOptions) register(address, state string) error {
	e := backend.Entry{Service: o.Service, Address: address, Zone: "hall-pamp", Version: o.Version, Slots: o.Slots, State: state}
	url := "http://" + o.store + "/admin/items/" + backend.Key(o.ID)
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(e.Bytes()))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the store answered %d", resp.StatusCode)
	}
	return nil
}

// runPrinter writes a line of JSON to standard output for each run that starts.
type runPrinter struct{ mu sync.Mutex }

// Began implements backend.Journal.
func (p *runPrinter) Began(run backend.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(os.Stdout).Encode(run)
}

// Ended implements backend.Journal.
func (p *runPrinter) Ended(backend.Run) {}

// Arrived implements backend.Journal.
func (p *runPrinter) Arrived(backend.Arrival) {}

// Said implements backend.Journal.
func (p *runPrinter) Said(backend.Word) {}
