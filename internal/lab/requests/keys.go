package requests

import (
	"fmt"
	"strings"
)

const (
	tenantCount   = 3
	keysPerTenant = 2
	unknownKey    = "key-nobody-0"
)

// keyOf returns the key of a tenant; tenantOf is its inverse.
func keyOf(tenant, number int) string { return fmt.Sprintf("key-t%d-%d", tenant, number) }

// tenantOf returns the name of the tenant that a key belongs to; empty: none.
func tenantOf(key string) string {
	parts := strings.Split(key, "-")
	if len(parts) != 3 {
		return ""
	}
	return parts[1]
}

// answerBody is the body of an endpoint's answer with a signature.
func answerBody(signature string) string { return strings.Repeat(signature+" ", 20) }

// bodyOf is the body of a request, of at most size bytes.
func bodyOf(id string, size int) string { return strings.Repeat(id+";", size/(len(id)+1)) }
