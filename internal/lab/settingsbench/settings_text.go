package settingsbench

import (
	"fmt"
	"strings"
)

// classNames is the number of names of classes: a sidecar bounds the number that it knows, and has dropped a name long before it
// is used again.
const classNames = 64

// className returns the class that only the n-th settings have.
func className(n int) string { return fmt.Sprintf("change-%d", n%classNames) }

// settingsText returns the n-th settings: all differ, and are of about that many bytes.
func settingsText(n, bytes int) []byte {
	text := fmt.Sprintf(`{"n":%d,"n_instances":1,"allowed":{"cancel":true,"conn_idle":30000000000,"connect_timeout":5000000000,"max_retry_after":1500000000,`+
		`"most_held":20000,"retry_after":true,"second_copies":true,"send_cap":4},"classes":[{"name":%q,"aim":300000000,"deadline":1000000000,`+
		`"idempotency":"read_like","worth":3}],"kinds":["k"],"zones":["z"],"quantum":2000000,"rules":{"answer_slack":8000000,"cold":9000000000,`+
		`"cold_share":0.3,"fall":1000000000,"stop_sending_within":3000000000,"tip_multiple":2.5}}`, n, className(n))
	if pad := bytes - len(text) - len(`,"note":""`); pad > 0 {
		text = strings.TrimSuffix(text, "}") + `,"note":"` + strings.Repeat("x", pad) + `"}`
	}
	return []byte(text)
}
