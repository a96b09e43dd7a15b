// Package machines runs processes of pinelb's routers on loopback addresses of their own, for plays that kill, freeze and restart them. It is
// told what the processes' settings are and knows nothing of what they serve.
package machines
