package pathlane.group;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import pathlane.group.Command.Claim;
import pathlane.group.Command.Expire;
import pathlane.group.Command.Join;
import pathlane.group.Command.Leave;
import pathlane.group.Command.Reclaim;
import pathlane.group.Command.Renew;
import pathlane.group.Command.Renewal;
import pathlane.group.Command.Replicated;
import pathlane.group.Command.Settle;

/**
 * The register: who holds a lease, whose work may be claimed, and who has claimed what. Deterministic and without a
 * clock: the same commands in the same order give the same state at every voter, and at every member that follows them.
 * Not safe for threads.
 *
 * <p>Invariants, which the tests check after each command: a token is granted once and tokens only grow; a slot of an
 * estate has at most one holder with a live lease; its holder is one of the keepers that the former owner's last replicated
 * view names.
 */
public final class Register {

    /** The work of a member whose lease has ended. */
    public static final class Estate {
        private final Member former;
        private final long view;
        /** Slots that are not settled, and the token of who holds each; 0 for nobody yet. */
        private final SortedMap<Integer, Long> holders = new TreeMap<>();
        /** Those that held a slot and have gone in their turn: what they had begun stands in their own records. */
        private final SortedMap<Integer, List<Long>> past = new TreeMap<>();

        Estate(Member former, long view) {
            this.former = former;
            this.view = view;
        }

        /** Whose work it was. */
        public Member former() {
            return former;
        }

        /** The view by which its records are placed. */
        public long view() {
            return view;
        }

        /** Slots that are not settled, with the token of who has claimed each, or 0. */
        public Map<Integer, Long> holders() {
            return java.util.Collections.unmodifiableMap(holders);
        }

        /** The tokens of those that held a slot before and have gone, the first first. */
        public List<Long> past(int slot) {
            return past.getOrDefault(slot, List.of());
        }

        private void hold(int slot, long token) {
            long before = holders.put(slot, token);
            if (before != 0 && before != token) {
                past.computeIfAbsent(slot, any -> new ArrayList<>()).add(before);
            }
        }
    }

    /** A live lease. */
    static final class Lease {
        final Member member;
        long renewals;
        /** The view by which all its records are placed; 0 while none are. */
        long replicatedView;

        Lease(Member member) {
            this.member = member;
        }
    }

    /** Slots of one that has gone which nobody can claim: nobody has its records. Its process may take them back. */
    record Abandoned(Member former, BitSet slots) { }

    /** Guards the register's size against names that never come back: the oldest go first. */
    private static final int MOST_ABANDONED = 1_024;

    private final SortedMap<Long, Abandoned> abandoned = new TreeMap<>();
    private final SortedMap<Long, Lease> leases = new TreeMap<>();
    private final SortedMap<Long, Estate> estates = new TreeMap<>();
    /** The members of the present view, and of each one that places records still. */
    private final SortedMap<Long, List<Member>> views = new TreeMap<>();
    private long lastToken;
    private long view;
    private int copies;

    /** An empty register. */
    public Register() {
        views.put(view, List.of());
    }

    // ---- what it says

    /** The number of the present view; it grows whenever a lease begins or ends. */
    public long view() {
        return view;
    }

    /** The members of the present view, by token. */
    public List<Member> members() {
        return views.get(view);
    }

    /** The greatest token that was granted. */
    public long lastToken() {
        return lastToken;
    }

    /** How many members keep each record. */
    public int copies() {
        return copies;
    }

    public boolean isLive(long token) {
        return leases.containsKey(token);
    }

    /** The live member of this name, the latest where a former process's lease runs still. */
    public Optional<Member> named(String name) {
        return members().stream().filter(member -> member.name().equals(name)).reduce((a, b) -> b);
    }

    /** The member with this live lease. */
    public Optional<Member> member(long token) {
        return Optional.ofNullable(leases.get(token)).map(lease -> lease.member);
    }

    /** How often a lease was renewed; -1 where it has ended. */
    public long renewals(long token) {
        Lease lease = leases.get(token);
        return lease == null ? -1 : lease.renewals;
    }

    /** The view by which a live member's records are placed; 0 while none are replicated, or it has no lease. */
    public long replicatedView(long token) {
        Lease lease = leases.get(token);
        return lease == null ? 0 : lease.replicatedView;
    }

    /** Estates that are not settled, by the token of their former owner. */
    public Collection<Estate> estates() {
        return java.util.Collections.unmodifiableCollection(estates.values());
    }

    public Optional<Estate> estate(long token) {
        return Optional.ofNullable(estates.get(token));
    }

    /** The keepers of a slot of a member's records by a view that is still known, the first to take over first. */
    public List<Member> keepers(long owner, int slot, long inView) {
        return Placement.keepers(slot, views.getOrDefault(inView, List.of()), owner, copies);
    }

    /** The live keepers of a slot of an estate, the first to take over first. */
    public List<Member> heirs(Estate estate, int slot) {
        return keepers(estate.former.token(), slot, estate.view).stream().filter(one -> isLive(one.token())).toList();
    }

    /** Who acts for a call's slot of one who has gone: the live holder, by following the claims; empty where nobody. */
    public Optional<Member> actingFor(long token, int slot) {
        long at = token;
        for (int hops = 0; hops <= estates.size(); hops++) {
            if (isLive(at)) {
                return member(at);
            }
            Estate estate = estates.get(at);
            Long holder = estate == null ? null : estate.holders.get(slot);
            if (holder == null || holder == 0) {
                return Optional.empty();
            }
            at = holder;
        }
        return Optional.empty();
    }

    // ---- what is asked of it

    /** Carries a command out. */
    public Reply apply(Command command) {
        if (command instanceof Join join) {
            return join(join);
        } else if (command instanceof Renew renew) {
            return renew(renew);
        } else if (command instanceof Leave leave) {
            end(leave.token(), false);
            return Reply.DONE;
        } else if (command instanceof Expire expire) {
            if (renewals(expire.token()) == expire.number()) {
                end(expire.token(), false);
            }
            return Reply.DONE;
        } else if (command instanceof Replicated replicated) {
            return replicated(replicated);
        } else if (command instanceof Claim claim) {
            return claim(claim);
        } else if (command instanceof Reclaim reclaim) {
            return reclaim(reclaim);
        }
        return settle((Settle) command);
    }

    private Reply join(Join join) {
        if (join.copies() != copies && !(leases.isEmpty() && estates.isEmpty())) {
            return new Reply.Refused("copies is " + join.copies() + " at " + join.name() + " and " + copies
                    + " in the group");
        }
        Optional<Member> same = named(join.name());
        if (same.isPresent()) {
            Member there = same.get();
            if (there.incarnation() == join.incarnation()) {
                if (join.last() < there.token()) {
                    return new Reply.Granted(there.token());   // its answer got lost
                }
            } else if (join.last() > 0) {
                // Guards against a process that was stopped and wakes up after another was started in its place.
                return new Reply.Refused("another process has joined as " + join.name());
            }
        }
        copies = join.copies();
        // One that listens where the former one did shows that its process is gone; else that lease runs out by itself.
        same.filter(there -> there.incarnation() == join.incarnation() || there.address().equals(join.address()))
                .ifPresent(there -> end(there.token(), join.emptied() && there.token() == join.last()));
        Estate last = estates.get(join.last());
        if (join.emptied() && last != null && last.holders.values().stream().allMatch(holder -> holder == 0)) {
            estates.remove(join.last());   // nobody has any of its records any more
        }
        abandoned.values().removeIf(one -> one.former.name().equals(join.name())
                && one.former.incarnation() != join.incarnation() && one.former.address().equals(join.address()));
        Member member = new Member(join.name(), join.incarnation(), join.address(), ++lastToken);
        leases.put(member.token(), new Lease(member));
        changed();
        return new Reply.Granted(member.token());
    }

    private Reply renew(Renew renew) {
        List<Long> ended = new ArrayList<>();
        for (Renewal renewal : renew.renewals()) {
            Lease lease = leases.get(renewal.token());
            if (lease == null) {
                ended.add(renewal.token());
            } else {
                lease.renewals = Math.max(lease.renewals, renewal.number());
            }
        }
        return new Reply.Ended(ended);
    }

    private Reply replicated(Replicated replicated) {
        Lease lease = leases.get(replicated.token());
        if (lease == null) {
            return new Reply.Ended(List.of(replicated.token()));
        }
        if (replicated.view() > lease.replicatedView && views.containsKey(replicated.view())) {
            lease.replicatedView = replicated.view();
            forgetViews();
        }
        return Reply.DONE;
    }

    private Reply claim(Claim claim) {
        List<Integer> held = new ArrayList<>();
        Estate estate = estates.get(claim.estate());
        if (estate != null && isLive(claim.claimer())) {
            for (int slot : claim.slots()) {
                Long holder = estate.holders.get(slot);
                if (holder == null) {
                    continue;
                }
                boolean free = holder == 0 || !isLive(holder);
                boolean keeps = heirs(estate, slot).stream().anyMatch(one -> one.token() == claim.claimer());
                if (holder == claim.claimer() || free && keeps) {
                    estate.hold(slot, claim.claimer());
                    held.add(slot);
                }
            }
        }
        return new Reply.Held(held);
    }

    private Reply reclaim(Reclaim reclaim) {
        List<Integer> back = new ArrayList<>();
        Estate estate = estates.get(reclaim.former());
        Abandoned left = abandoned.get(reclaim.former());
        Lease lease = leases.get(reclaim.token());
        Member former = estate != null ? estate.former : left != null ? left.former : null;
        if (former != null && lease != null && lease.member.name().equals(former.name())
                && lease.member.incarnation() == former.incarnation()) {
            for (int slot : reclaim.slots()) {
                Long holder = estate == null ? null : estate.holders.get(slot);
                if (isPast(reclaim.former(), slot)) {
                    continue;   // what it had taken over is looked up in its records still
                }
                if (holder != null && holder == 0) {
                    estate.holders.remove(slot);
                    back.add(slot);
                } else if (left != null && left.slots.get(slot)) {
                    left.slots.clear(slot);
                    back.add(slot);
                }
            }
            drop();
        }
        return new Reply.Held(back);
    }

    /** Whether a slot of one that has gone is not settled, or left to nobody: its process may yet take it back. */
    public boolean isOpen(long token, int slot) {
        Estate estate = estates.get(token);
        Abandoned left = abandoned.get(token);
        return estate != null && estate.holders.getOrDefault(slot, -1L) == 0 || left != null && left.slots.get(slot);
    }

    private void abandon(Member former, BitSet slots) {
        if (!slots.isEmpty()) {
            abandoned.computeIfAbsent(former.token(), any -> new Abandoned(former, new BitSet())).slots.or(slots);
        }
        abandoned.values().removeIf(one -> one.slots.isEmpty());
        while (abandoned.size() > MOST_ABANDONED) {
            abandoned.remove(abandoned.firstKey());
        }
    }

    private Reply settle(Settle settle) {
        Estate estate = estates.get(settle.estate());
        if (estate != null) {
            for (int slot : settle.slots()) {
                Long holder = estate.holders.get(slot);
                // Guards against two that go on with one call: what this one had taken over itself is looked up in its
                // records by whoever took that over from it.
                if (holder != null && holder == settle.claimer() && isLive(holder) && !isPast(settle.estate(), slot)) {
                    estate.holders.remove(slot);
                }
            }
            drop();
        }
        return Reply.DONE;
    }

    private boolean isPast(long token, int slot) {
        return estates.values().stream().anyMatch(estate -> estate.holders.containsKey(slot)
                && (estate.past(slot).contains(token) || estate.holders.get(slot) == token));
    }

    /** A lease has ended; what it replicated is an estate, unless nobody has any of its records. */
    private void end(long token, boolean emptied) {
        Lease lease = leases.remove(token);
        if (lease == null) {
            return;
        }
        if (lease.replicatedView > 0 && !emptied) {
            Estate estate = new Estate(lease.member, lease.replicatedView);
            for (int slot = 0; slot < Placement.SLOTS; slot++) {
                estate.holders.put(slot, 0L);
            }
            estates.put(token, estate);
        } else if (!emptied) {
            BitSet all = new BitSet();
            all.set(0, Placement.SLOTS);
            abandon(lease.member, all);
        }
        changed();
        drop();
    }

    private void changed() {
        view++;
        views.put(view, leases.values().stream().map(lease -> lease.member).toList());
        forgetViews();
    }

    /** Slots whose keepers have all gone are lost with them: records are kept in memory alone. */
    private void drop() {
        for (Estate estate : List.copyOf(estates.values())) {
            BitSet lost = new BitSet();
            estate.holders.forEach((slot, holder) -> lost.set(slot, (holder == 0 || !isLive(holder))
                    && heirs(estate, slot).isEmpty()));
            estate.holders.keySet().removeIf(lost::get);
            abandon(estate.former, lost);
            if (estate.holders.isEmpty()) {
                estates.remove(estate.former.token());
            }
        }
        forgetViews();
    }

    private void forgetViews() {
        Set<Long> used = new HashSet<>();
        used.add(view);
        leases.values().forEach(lease -> used.add(lease.replicatedView));
        estates.values().forEach(estate -> used.add(estate.view));
        views.keySet().retainAll(used);
    }

    // ---- as a whole

    /** All of it, for {@link RegisterCodec}. */
    record Whole(long lastToken, long view, int copies, SortedMap<Long, Lease> leases, SortedMap<Long, Estate> estates,
                 SortedMap<Long, Abandoned> abandoned, SortedMap<Long, List<Member>> views) { }

    Whole whole() {
        return new Whole(lastToken, view, copies, leases, estates, abandoned, views);
    }

    static Register of(Whole whole) {
        Register register = new Register();
        register.lastToken = whole.lastToken;
        register.view = whole.view;
        register.copies = whole.copies;
        register.leases.putAll(whole.leases);
        register.estates.putAll(whole.estates);
        register.abandoned.putAll(whole.abandoned);
        register.views.clear();
        register.views.putAll(whole.views);
        return register;
    }

    /** Copies another one's state, so that a member that follows the register can begin in the middle. */
    static Estate estate(Member former, long view, Map<Integer, Long> holders, Map<Integer, List<Long>> past) {
        Estate estate = new Estate(former, view);
        estate.holders.putAll(holders);
        estate.past.putAll(past);
        return estate;
    }
}
