// Package requests plays real processes of pinelb's routers while clients keep connections open and send requests, endpoints fail in every way
// that the protocol allows, an operator gives out and takes away keys, and machines are killed, frozen and restarted. It judges what clients,
// endpoints and the operator saw on their sockets by the rules MIXED, UNASKED, TWICE, REFUSED, DENIED, ROUTE, CONFIG, LOST and RECOVER.
//
// A seed draws a play's script: the fleet, and faults in series that overlap. The requests themselves depend on the machine, so that a seed
// repeats the script and not what is sent.
package requests
