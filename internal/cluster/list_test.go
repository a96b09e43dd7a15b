package cluster

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"pinelb.example/pinelb/balance"
)

const document = `{"revision":41,"complete":true,"members":[
 {"id":"s-5be2a07c","host_port":"127.0.1.18:8080","locality":"a","flavor":"m2","cell":3,"phase":"Ready","size":1.5,"up_since_ms":1700000000123},
 {"id":"s-2","host_port":"","phase":"Gone","novel":[1]}]}`

func TestParseList(t *testing.T) {
	got, err := ParseList(gjson.Parse(document))
	if err != nil {
		t.Fatal(err)
	}
	want := List{Revision: 41, Complete: true, Members: []Member{
		{ID: "s-5be2a07c", Addr: "127.0.1.18:8080", Zone: "a", Kind: "m2", Cell: 3, State: balance.Ready, Weight: 1.5,
			UpSince: 1700000000123 * time.Millisecond},
		{ID: "s-2", State: balance.Removed},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// Guards against a list that is taken over in part: what it leaves out would count as gone.
func TestInvalidLists(t *testing.T) {
	for text, names := range map[string]string{
		`[]`:            "members",
		`{"members":1}`: "members",
		`{"members":[{"id":"a","host_port":"127.0.0.1:1","phase":"Napping"}]}`: "members[0].phase",
		`{"members":[{"host_port":"127.0.0.1:1","phase":"Ready"}]}`:            "members[0].id",
		`{"members":[{"id":"a","host_port":"nowhere","phase":"Ready"}]}`:       "members[0].host_port",
	} {
		if _, err := ParseList(gjson.Parse(text)); err == nil || !strings.Contains(err.Error(), names) {
			t.Errorf("%s: error %v, want one that names %s", text, err, names)
		}
	}
}
