package inflight

import (
	"encoding/json"
	"testing"
	"time"
)

// Guards against names in journals and between processes of two versions that change with an identifier.
func TestUpdateJSON(t *testing.T) {
	note := Update{ID: ID{Txn: "t", Class: "c", Key: "k", Retention: time.Second}, Done: true, Retracted: true,
		Attempt: Attempt{Endpoint: 7, SentAt: time.Unix(1, 0).UTC()}}
	got, err := json.Marshal(note)
	if err != nil {
		t.Fatal(err)
	}
	const want = `{"Txn":"t","Class":"c","Key":"k","Keep":1000000000,"Over":true,"Back":true,"Host":7,"At":"1970-01-01T00:00:01Z"}`
	if string(got) != want {
		t.Errorf("JSON %s, want %s", got, want)
	}
}
