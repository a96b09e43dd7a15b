package config

// KeyPolicy says whether requests need an API key, on routes that are not public. It changes in one direction only, from KeysOptional to
// KeysRequired, by nextKeyPolicy: a fleet whose last tenant is removed still requires keys, which nobody has then. The zero value requires
// them, too. Its numbers are stored and sent.
type KeyPolicy uint8

// The policies.
const (
	unrecordedKeyPolicy KeyPolicy = iota // in states and messages of builds that recorded none
	KeysRequired                         // this configuration, or one before it, has had a tenant
	KeysOptional                         // no configuration has had a tenant
)

// RequiresKey reports whether a request without a key is denied.
func (p KeyPolicy) RequiresKey() bool { return p != KeysOptional }

// nextKeyPolicy returns the policy of a document that follows one with the policy previous. Where that is not recorded, an empty list of
// tenants counts as one from which the last tenant was removed.
func nextKeyPolicy(previous KeyPolicy, tenants *itemList) KeyPolicy {
	hasTenants := tenants != nil && len(tenants.names) > 0
	removedTenants := previous == unrecordedKeyPolicy && tenants != nil
	if previous == KeysRequired || hasTenants || removedTenants {
		return KeysRequired
	}
	return KeysOptional
}
