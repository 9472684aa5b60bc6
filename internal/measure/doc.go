// Package measure runs the decision code of the daemons against small fakes of
// engines and of the weight store in virtual time, and reports how well requests
// were served. Runs are seeded and repeat exactly.
package measure
