package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/internal/settingsserver"
	"pinelb.example/pinelb/internal/settingsstore"
)

// pollEach is the time between two looks at a status that is waited for.
const pollEach = 200 * time.Millisecond

// settingsLine is what can stand after "pinelb settings".
type settingsLine struct {
	Publish struct {
		distributors
		File string `arg:"" placeholder:"FILE" help:"The settings: a JSON object, as the file that LB_CONFIG names has it under settings. - is standard input."`
	} `cmd:"" help:"Publish settings of a service."`
	Rollback struct {
		distributors
	} `cmd:"" help:"Publish the settings anew that the service had before the newest ones."`
	Status struct {
		distributors
	} `cmd:"" help:"Say which sidecars have the newest settings of a service in force."`
}

// distributors are whom to call, about what, and how to tell the outcome.
type distributors struct {
	At      []string      `required:"" placeholder:"ADDR" help:"Where distributors take operators' calls. To publish, the first that takes it is enough."`
	Service string        `required:"" placeholder:"NAME" help:"The service."`
	Within  time.Duration `default:"2s" help:"How long one is waited for."`
	Wait    time.Duration `placeholder:"6s" help:"Then wait for so long at most until the newest settings are in force at all sidecars, and say how they stand."`
	JSON    bool          `help:"Lines of JSON: one for each sidecar, one for each distributor, and a summary."`
}

// check names the argument that can't be used.
func (d *distributors) check() error {
	for _, at := range d.At {
		if addr, err := netip.ParseAddrPort(at); err != nil || addr.Port() == 0 {
			return fmt.Errorf("--at: must be an address and port, not %q", at)
		}
	}
	if d.Within <= 0 || d.Wait < 0 {
		return fmt.Errorf("--within must be above 0, and --wait not below")
	}
	if faulty, ok := settingsstore.CheckName("--service", d.Service).(settingsstore.KeyError); ok {
		return fmt.Errorf("%s %s", faulty.Key, faulty.Reason)
	}
	return nil
}

// runSettings carries out a command and returns the exit status.
func runSettings(command string, line *settingsLine) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d := map[string]*distributors{"publish": &line.Publish.distributors, "rollback": &line.Rollback.distributors, "status": &line.Status.distributors}[command]
	err := d.check()
	var contents []byte
	if err == nil && command == "publish" {
		contents, err = settingsOf(line.Publish.File)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "pinelb settings:", err)
		return statusFaulty
	}
	o := &settingsserver.OperatorClient{Addresses: d.At, Timeout: d.Within}
	switch command {
	case "publish":
		return d.published(ctx, o, func() (settingsserver.PublishResult, error) { return o.Publish(ctx, d.Service, contents) })
	case "rollback":
		return d.published(ctx, o, func() (settingsserver.PublishResult, error) { return o.RollBack(ctx, d.Service) })
	}
	return d.status(ctx, o)
}

// settingsOf reads what is to be published.
func settingsOf(path string) ([]byte, error) {
	in := io.ReadCloser(os.Stdin)
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		in = f
	}
	defer in.Close()
	const most = 8 * settingsstore.MaxSettingsBytes // a distributor says how much is too much
	return io.ReadAll(io.LimitReader(in, most))
}

// published tells what came of a publish, and waits until it is in force where that is asked for.
func (d *distributors) published(ctx context.Context, o *settingsserver.OperatorClient, do func() (settingsserver.PublishResult, error)) int {
	p, err := do()
	switch {
	case errors.Is(err, settingsserver.ErrNoneReached):
		fmt.Fprintln(os.Stderr, "pinelb settings:", err)
		return settingsserver.ExitNoneReached
	case err != nil:
		fmt.Fprintln(os.Stderr, "pinelb settings:", err)
		return statusFaulty
	case !d.JSON:
		fmt.Printf("%s: published as edition %s\n", d.Service, p.Edition)
	}
	if d.Wait == 0 && !d.JSON {
		return 0
	}
	if d.Wait == 0 {
		fmt.Printf("{\"line\":\"published\",\"service\":%q,\"epoch\":%d,\"by\":%q,\"digest\":\"%016x\"}\n", d.Service, p.Epoch, p.By, uint64(p.Digest))
		return 0
	}
	return d.status(ctx, o)
}

// status tells how sidecars stand, once all have the newest in force or the wait is over.
func (d *distributors) status(ctx context.Context, o *settingsserver.OperatorClient) int {
	end := time.Now().Add(d.Wait)
	v := settingsserver.NewView(o.Statuses(ctx, d.Service))
	for v.Exit() != settingsserver.ExitAllInForce && time.Now().Before(end) && ctx.Err() == nil {
		time.Sleep(pollEach)
		v = settingsserver.NewView(o.Statuses(ctx, d.Service))
	}
	write := v.Table
	if d.JSON {
		write = v.JSON
	}
	if err := write(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "pinelb settings:", err)
		return statusFaulty
	}
	return v.Exit()
}

// runDistributor is a distributor's process, and returns the exit status.
func runDistributor(path string) int {
	cfg, err := settingsserver.ReadConfig(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pinelb distribute:", err)
		return statusFaulty
	}
	log := zerolog.New(os.Stderr).Level(zerolog.InfoLevel).Sample(&zerolog.BurstSampler{Burst: 50, Period: time.Second}).With().Timestamp().Logger()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := settingsserver.Run(ctx, *cfg, log); err != nil {
		log.Error().Err(err).Msg("distributor ends")
		return 1
	}
	return 0
}
