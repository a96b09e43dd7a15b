// Package grey detects grey failures: hosts that fail a part of their attempts, by errors or by never answering, while they
// serve the rest (gray failure; Huang et al., HotOS 2017). It is pure: the caller passes ages and reports how each attempt
// ended. Its types aren't safe for concurrent use. Package balance is its only caller.
//
// It answers two questions. Does this attempt hang? By Bayes' rule, the chance that an answer is late is weighed against the
// chance that none comes: by how long answers of the class take at present, by how many later attempts the host has
// answered, and by how often the host has not answered before. And what share of its attempts does this host fail, compared
// with its peers? A share is shrunk toward what the others fail at the same time of the same classes, so that what all
// have in common, a class that fails everywhere or a dependency that is down, is held against none of them.
//
// An attempt that ends without an answer is no proof: it counts as failed by the odds that it hung. All evidence decays, so
// that a host that gets no traffic is tried again. docs/design/grey-failures.md has the options and the measurements.
package grey
