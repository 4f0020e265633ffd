package org.crocushaven.membership;

import java.util.List;
import java.util.Optional;

/** Read access to the known instances. */
public interface MembershipView {
    /** Returns this instance's own record. */
    InstanceRecord self();

    /** Returns every known instance, this one included, in name order. */
    List<InstanceRecord> instances();

    /** Returns the instance with the given name. */
    Optional<InstanceRecord> find(String name);
}
