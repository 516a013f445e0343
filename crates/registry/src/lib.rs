//! Who is there: the nodes of the tier and the executors, as the nodes tell each other.
