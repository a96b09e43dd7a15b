// Package crowds holds tests of real processes, on loopback sockets, beside crowds of clients that don't behave: heads and bodies without end,
// answers that nobody reads, connections that stay silent. The tests check what doesn't depend on the machine's speed: the process lives, its
// memory and its descriptors stay within the limits of its settings, and an ordinary request is answered.
package crowds
