// The schema of an operator's configuration. Fields that it does not name are kept.

#Name: string & !=""

#Backend: {
	service!: #Name
	weight!:  number & >=0
	...
}

#Route: {
	name!:       #Name
	host!:       string
	pathPrefix!: =~"^/"
	type!:       "safe" | "unsafe" | "streaming"
	timeoutMs!:  number & >0
	targetLatencyMs?: number & >=0
	priority?:   int
	service?:    #Name
	backends?: [...#Backend]
	maxAttempts?: int & >=0
	...
}

#Service: {
	name!:            #Name
	healthCheckPath?: string
	maxConnections?:  int & >=0
	...
}

#Tenant: {
	name!: #Name
	apiKeys?: [...string]
	ratePerS?: number & >=0
	burst?:    number & >=0
	...
}

#Limits: {
	maxHeaderBytes?:  int & >=0
	maxBodyBytes?:    int & >=0
	headerTimeoutMs?: number & >=0
	idleTimeoutMs?:   number & >=0
	...
}
