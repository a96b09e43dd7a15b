package daemon

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"pinelb.example/pinelb/balance"
	"pinelb.example/pinelb/internal/cluster"
	"pinelb.example/pinelb/internal/config"
	"pinelb.example/pinelb/internal/effects"
	"pinelb.example/pinelb/internal/engine"
	"pinelb.example/pinelb/internal/handover"
)

// Guards against a cordon that is lost in an upgrade because the process remembers so many effects that its successor takes
// nothing at all.
func TestManyEffectsAreHandedOver(t *testing.T) {
	set, err := config.ParseSettings([]byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	process := func() *succession {
		eng, err := engine.New(set.Settings, 1, noHosts{}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		return &succession{classes: func() []string { return set.ClassNames }, table: cluster.NewTable(set.ZoneNames, set.KindNames, noHosts{}, eng),
			eng: eng, effects: effects.New(20000), log: zerolog.Nop()}
	}
	one, other := process(), process()
	one.table.Apply(balance.ListFull, cluster.List{Members: []cluster.Member{{ID: "s-1", Addr: "127.0.0.1:1", State: balance.Ready}}})
	one.table.Cordon("s-1")
	now := time.Now()
	wide := strings.Repeat("x", 3200)
	var last effects.ID
	for i := range 2700 {
		last = effects.ID{Txn: fmt.Sprint(i), Class: wide, Key: fmt.Sprint(i), Keep: time.Minute}
		one.effects.Open(now, last)
		one.effects.Sent(now, last.Txn, 1)
		one.effects.End(now, last.Txn)
	}
	state, err := one.state()
	if err != nil || len(state) > handover.StateMost {
		t.Errorf("%d bytes are handed over, which nobody takes: %v", len(state), err)
	}
	other.former = &handover.Former{State: state}
	if !other.take() || !slices.Equal(other.table.Held().Cordoned, []string{"s-1"}) {
		t.Errorf("the successor knows %+v", other.table.Held())
	}
	last.Txn = "again"
	if first, _ := other.effects.Open(now, last); !first.At.Equal(now) {
		t.Errorf("of the last effect the successor knows %+v", first)
	}
}
